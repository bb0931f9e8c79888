package main

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"text/tabwriter"
	"time"

	"gypsumbank/deployment"
	"gypsumbank/operator"
)

const (
	demoTimeout  = 20 * time.Second
	settingsMode = 0o600
)

var errDemo = errors.New("demo did not go as expected")

// answer is what a caller got.
type answer struct {
	status   int
	replayed bool
	text     string
}

// demonstration prints one row for each thing that it shows.
type demonstration struct {
	deployment *deployment.Deployment
	table      *tabwriter.Writer
}

func demonstrate(ctx context.Context, d *deployment.Deployment, out io.Writer) error {
	ctx, cancel := context.WithTimeout(ctx, demoTimeout)
	defer cancel()
	demo := &demonstration{deployment: d, table: tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)}
	fmt.Fprintln(demo.table, "WHAT\tENTRY\tRESULT\tDETAIL")
	for _, step := range []func(context.Context) error{demo.stream, demo.event, demo.editPlans, demo.editAllowances} {
		if err := step(ctx); err != nil {
			_ = demo.table.Flush()
			return err
		}
	}
	return demo.table.Flush()
}

func (d *demonstration) row(what, entry, result, detail string) {
	fmt.Fprintf(d.table, "%s\t%s\t%s\t%s\n", what, entry, result, detail)
}

func (d *demonstration) stream(ctx context.Context) error {
	body := fmt.Sprintf(`{"model":%q,"stream":true,"messages":[{"role":"user","content":"a light blend for the morning"}]}`, deployment.ModelName(0))
	got, err := d.post(ctx, 0, "/v1/chat/completions", body, "")
	if err != nil {
		return err
	}
	if got.status != http.StatusOK || !strings.HasSuffix(got.text, "data: [DONE]\n\n") {
		return fmt.Errorf("%w: streamed completion: status %d, answer %q", errDemo, got.status, got.text)
	}
	d.row("streamed completion", d.deployment.Entries()[0].Name, "whole", fmt.Sprintf("%d events, end mark seen", strings.Count(got.text, "data: ")))
	return nil
}

func (d *demonstration) event(ctx context.Context) error {
	entries := len(d.deployment.Entries())
	for i := range 2 {
		entry := i % entries
		got, err := d.post(ctx, entry, "/services/ledger/events", `{"id":"refill-sale-1"}`, "refill-sale-1")
		if err != nil {
			return err
		}
		if got.status != http.StatusCreated {
			return fmt.Errorf("%w: ledger event: status %d, answer %q", errDemo, got.status, got.text)
		}
		result := "run"
		if got.replayed {
			result = "answer replayed"
		}
		d.row("ledger event refill-sale-1", d.deployment.Entries()[entry].Name, result, got.text)
	}
	runs := d.deployment.LedgerCounts().Runs("refill-sale-1")
	d.row("ledger count", "", fmt.Sprintf("%d run", runs), "counted by the ledger itself")
	if runs != 1 {
		return fmt.Errorf("%w: the event ran %d times", errDemo, runs)
	}
	return nil
}

func (d *demonstration) editPlans(ctx context.Context) error {
	size := d.deployment.Size()
	text := strings.Replace(size.Plans(), "plan = counter", "plan = evening", 1)
	allowances := size.Allowances() + "\n[plan evening]\nmodels = *\nadapters = *\nservices = ledger\n"
	if err := d.apply(ctx, operator.Allowances, allowances, "a plan evening is added"); err != nil {
		return err
	}
	return d.apply(ctx, operator.Plans, text, "a customer moves to plan evening")
}

func (d *demonstration) editAllowances(ctx context.Context) error {
	size := d.deployment.Size()
	allowances := size.Allowances() + fmt.Sprintf("\n[plan evening]\nmodels = %s\n", deployment.ModelName(1))
	if err := d.apply(ctx, operator.Allowances, allowances, "plan evening is narrowed to one model"); err != nil {
		return err
	}
	body := fmt.Sprintf(`{"model":%q,"prompt":"x"}`, deployment.ModelName(0))
	for i, role := range d.deployment.Entries() {
		got, err := d.post(ctx, i, "/v1/completions", body, "")
		if err != nil {
			return err
		}
		if got.status != http.StatusNotFound {
			return fmt.Errorf("%w: model outside the plan: status %d, answer %q", errDemo, got.status, got.text)
		}
		d.row("model outside the plan", role.Name, "refused", "the edit is in force here")
	}
	return nil
}

func (d *demonstration) apply(ctx context.Context, list, text, detail string) error {
	o, err := d.deployment.Operator()
	if err != nil {
		return err
	}
	defer o.Close()
	current, err := o.Current(ctx)
	if err != nil {
		return err
	}
	base := current.Message().GetPlansVersion()
	if list == operator.Allowances {
		base = current.Message().GetAllowancesVersion()
	}
	applied, err := o.Apply(ctx, list, []byte(text), base)
	if err != nil {
		return err
	}
	d.row("edit of "+list, "", fmt.Sprintf("accepted, version %d", applied.ListVersion), fmt.Sprintf("%s; in force in %d availability zones", detail, len(applied.InForce)))
	return nil
}

func (d *demonstration) post(ctx context.Context, entry int, path, body, key string) (answer, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, d.deployment.URL(entry)+path, bytes.NewBufferString(body))
	if err != nil {
		return answer{}, fmt.Errorf("build request: %w", err)
	}
	size := d.deployment.Size()
	request.Header.Set("Authorization", "Bearer "+size.Key(size.Members[0]))
	if key != "" {
		request.Header.Set("Idempotency-Key", key)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return answer{}, err
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	if err != nil {
		return answer{}, fmt.Errorf("read answer: %w", err)
	}
	replayed := response.Header.Get("Idempotent-Replayed") == "true"
	return answer{status: response.StatusCode, replayed: replayed, text: string(text)}, nil
}

func writeSettings(path string, d *deployment.Deployment) error {
	if path == "" {
		return nil
	}
	if err := os.WriteFile(path, []byte(d.OperatorSettings()), settingsMode); err != nil {
		return fmt.Errorf("settings for operators: %w", err)
	}
	return nil
}
