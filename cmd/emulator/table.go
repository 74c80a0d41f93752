package main

import (
	"context"
	"fmt"

	"woodproxy/internal/experiment"
)

// compareCommand compares the variants of a table on one metric.
type compareCommand struct {
	Table  string `arg:"" help:"A table written by an experiment."`
	Figure string `default:"p99_ms" help:"The column to compare."`
	Base   string `help:"The variant to compare the others with; by default the first."`
}

// Run prints one line for each variant except the base.
func (c *compareCommand) Run(context.Context) error {
	table, err := experiment.ReadTable(c.Table)
	if err != nil {
		return err
	}
	differences, err := table.Compare(c.Figure, c.Base)
	if err != nil {
		return err
	}
	for _, difference := range differences {
		fmt.Println(difference)
	}
	return nil
}

// chartCommand draws one metric of a table.
type chartCommand struct {
	Table  string `arg:"" help:"A table written by an experiment."`
	Figure string `default:"p99_ms" help:"The column to draw."`
	Out    string `required:"" help:"The image file to write, .svg or .png."`
}

// Run writes the image file.
func (c *chartCommand) Run(context.Context) error {
	table, err := experiment.ReadTable(c.Table)
	if err != nil {
		return err
	}
	return table.Chart(c.Figure, c.Out)
}
