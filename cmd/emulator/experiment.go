package main

import (
	"context"
	"fmt"
	"os"

	"woodproxy/internal/experiment"
)

// experimentCommand runs an experiment and writes its table.
type experimentCommand struct {
	File string `arg:"" help:"The experiment file."`
	Out  string `required:"" help:"The table to write."`
	Dir  string `default:"found/experiment" help:"Directory for configurations and logs; it must be empty or not exist."`
}

// Run runs the experiment. If it is interrupted, Run removes the directory, so that the experiment can be started again.
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
		_ = os.RemoveAll(c.Dir) // if this fails, the next start reports that the directory is not empty
	}
	if err != nil {
		return err
	}
	return table.Write(c.Out)
}
