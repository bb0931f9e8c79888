package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"strings"

	"github.com/alecthomas/kingpin/v2"

	"gypsumbank/explain"
)

var cmdExplain = command{
	name: "explain",
	help: "Show where a gateway of the users' platform would route a request now and why, without sending it.",
	setup: func(clause *kingpin.CmdClause, actions map[string]action) {
		gateway := clause.Flag("gateway", "Address of the gateway's metrics port.").Required().PlaceHolder("HOST:PORT").String()
		var request explain.Request
		clause.Flag("method", "Method of the request.").Default("POST").StringVar(&request.Method)
		clause.Flag("host", "Host of the request.").Required().StringVar(&request.Host)
		clause.Flag("path", "Path of the request, with its query.").Required().StringVar(&request.Path)
		headers := clause.Flag("header", "Header field of the request; may be given several times.").Short('H').PlaceHolder("NAME:VALUE").Strings()
		headerFile := clause.Flag("header-file", "File with further header fields, one a line; - is standard input. Keys given there are not shown by lists of processes.").String()
		clause.Flag("customer", "Name of the customer that the request is of, in place of a key.").StringVar(&request.Customer)
		clause.Flag("exclude", "ID of a target that must not be chosen, as after a failed attempt; may be given several times.").StringsVar(&request.Exclude)
		asJSON := clause.Flag("json", "Print the explanation as JSON.").Bool()
		actions[clause.FullCommand()] = func(ctx context.Context, env Env) error {
			parsed, err := parseHeaders(*headers, *headerFile)
			if err != nil {
				return err
			}
			request.Headers = parsed
			explanation, err := explain.Ask(ctx, *gateway, &request)
			if err != nil {
				return err
			}
			return printExplanation(env.Out, explanation, *asJSON)
		}
	},
}

// parseHeaders returns the header fields of the command line and of a file, unless that has no name.
func parseHeaders(lines []string, file string) ([]explain.Header, error) {
	if file != "" {
		text, err := readLog(file)
		if err != nil {
			return nil, fmt.Errorf("explain: %w", err)
		}
		for line := range strings.Lines(string(text)) {
			if line = strings.TrimRight(line, "\r\n"); line != "" {
				lines = append(lines, line)
			}
		}
	}
	headers := make([]explain.Header, 0, len(lines))
	for _, line := range lines {
		header, err := explain.ParseHeader(line)
		if err != nil {
			return nil, err
		}
		headers = append(headers, header)
	}
	return headers, nil
}

func printExplanation(out io.Writer, explanation *explain.Explanation, asJSON bool) error {
	if !asJSON {
		return explanation.Write(out)
	}
	encoder := json.NewEncoder(out)
	encoder.SetIndent("", "  ")
	return encoder.Encode(explanation)
}
