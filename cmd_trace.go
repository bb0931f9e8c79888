package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"os"

	"github.com/alecthomas/kingpin/v2"

	"gypsumbank/trace"
)

var cmdTrace = command{
	name: "trace",
	help: "Tell the way of one request and the cause of its end from the logs of all processes.",
	setup: func(clause *kingpin.CmdClause, actions map[string]action) {
		request := clause.Flag("request", "Id of the request.").Required().String()
		drawing := clause.Flag("svg", "Also draw the way into this file.").String()
		paths := clause.Arg("log", "Files with logs in JSON of any processes; - is standard input.").Required().Strings()
		actions[clause.FullCommand()] = func(_ context.Context, env Env) error {
			return traceRequest(*request, *paths, *drawing, env.Out)
		}
	},
}

func traceRequest(request string, paths []string, drawing string, out io.Writer) error {
	var logs []io.Reader
	for _, path := range paths {
		log, err := readLog(path)
		if err != nil {
			return fmt.Errorf("trace: %w", err)
		}
		logs = append(logs, bytes.NewReader(log))
	}
	found, err := trace.New(request, logs...)
	if err != nil {
		return fmt.Errorf("trace: %w", err)
	}
	if drawing != "" {
		var picture bytes.Buffer
		if err := found.Draw(&picture); err != nil {
			return fmt.Errorf("trace: %w", err)
		}
		if err := os.WriteFile(drawing, picture.Bytes(), 0o644); err != nil {
			return fmt.Errorf("trace: %w", err)
		}
	}
	return found.Write(out)
}

func readLog(path string) ([]byte, error) {
	if path == "-" {
		return io.ReadAll(os.Stdin)
	}
	return os.ReadFile(path)
}
