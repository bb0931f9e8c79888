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
	help: "Show the path of one request and the cause of its outcome from the logs of all processes.",
	setup: func(clause *kingpin.CmdClause, actions map[string]action) {
		request := clause.Flag("request", "ID of the request.").Required().String()
		svgPath := clause.Flag("svg", "Also write an SVG drawing of the request to this file.").String()
		paths := clause.Arg("log", "Files with JSON logs of any number of processes; - is standard input.").Required().Strings()
		actions[clause.FullCommand()] = func(_ context.Context, env Env) error {
			return traceRequest(*request, *paths, *svgPath, env.Out)
		}
	},
}

func traceRequest(request string, paths []string, svgPath string, out io.Writer) error {
	var logs []io.Reader
	for _, path := range paths {
		log, err := readLog(path)
		if err != nil {
			return fmt.Errorf("trace: %w", err)
		}
		logs = append(logs, bytes.NewReader(log))
	}
	parsed, err := trace.New(request, logs...)
	if err != nil {
		return fmt.Errorf("trace: %w", err)
	}
	if svgPath != "" {
		var svg bytes.Buffer
		if err := parsed.Draw(&svg); err != nil {
			return fmt.Errorf("trace: %w", err)
		}
		if err := os.WriteFile(svgPath, svg.Bytes(), 0o644); err != nil {
			return fmt.Errorf("trace: %w", err)
		}
	}
	return parsed.Write(out)
}

// readLog reads a file, or standard input if path is "-".
func readLog(path string) ([]byte, error) {
	if path == "-" {
		return io.ReadAll(os.Stdin)
	}
	return os.ReadFile(path)
}
