package main

import (
	"context"
	"fmt"
	"os"

	"woodproxy/internal/experiment"
)

// experimentCommand runs an experiment and writes its table.
type experimentCommand struct {
	File string `arg:"" help:"The experiment's file."`
	Out  string `required:"" help:"The table to write."`
	Dir  string `default:"found/experiment" help:"Where configurations and logs are kept."`
}

// Run removes the directory if the experiment is interrupted, so that it can be started again.
func (c *experimentCommand) Run(ctx context.Context) error {
	e, err := experiment.Read(c.File)
	if err != nil {
		return err
	}
	if err := experiment.CreateEmptyDir(c.Dir); err != nil {
		return err
	}
	table, err := e.Run(ctx, c.Dir, func(line string) { fmt.Println(line) })
	if ctx.Err() != nil {
		_ = os.RemoveAll(c.Dir) // what is left is reported by the next start, which needs an empty directory
	}
	if err != nil {
		return err
	}
	return table.Write(c.Out)
}
