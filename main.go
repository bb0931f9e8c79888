// Command gypsumbank serves many models on fewer accelerators.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"
)

func main() { os.Exit(execute()) }

// execute runs the command of the program's arguments until it ends or a stop signal arrives, and returns the exit
// status. Stop signals stay caught until the exit, since a further one must not end a process that has drained.
func execute() int {
	ctx, _ := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	if err := run(ctx, os.Args[1:], os.Stdout, os.Stderr); err != nil {
		fmt.Fprintln(os.Stderr, "gypsumbank:", err)
		return 1
	}
	return 0
}
