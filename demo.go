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
	demoTimeout      = 20 * time.Second
	settingsFileMode = 0o600
)

var errUnexpectedResult = errors.New("unexpected result in the demo")

// answer is the answer to an HTTP request.
type answer struct {
	status   int
	replayed bool // the answer of an earlier call with the same idempotency key
	text     string
}

// demonstration runs a sequence of requests and edits and prints a table row for the result of each.
type demonstration struct {
	deployment *deployment.Deployment
	table      *tabwriter.Writer
}

// runDemonstration runs all steps and prints the table. It stops at the first result that is not as expected.
func runDemonstration(ctx context.Context, d *deployment.Deployment, out io.Writer) error {
	ctx, cancel := context.WithTimeout(ctx, demoTimeout)
	defer cancel()
	demo := &demonstration{deployment: d, table: tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)}
	fmt.Fprintln(demo.table, "WHAT\tENTRY\tRESULT\tDETAIL")
	for _, step := range []func(context.Context) error{demo.showStreaming, demo.showIdempotentCall, demo.showPlanEdit, demo.showAllowanceEdit} {
		if err := step(ctx); err != nil {
			_ = demo.table.Flush()
			return err
		}
	}
	return demo.table.Flush()
}

func (d *demonstration) addRow(what, entry, result, detail string) {
	fmt.Fprintf(d.table, "%s\t%s\t%s\t%s\n", what, entry, result, detail)
}

// showStreaming sends a streamed chat completion and checks that the answer is complete.
func (d *demonstration) showStreaming(ctx context.Context) error {
	requestBody := fmt.Sprintf(`{"model":%q,"stream":true,"messages":[{"role":"user","content":"a light blend for the morning"}]}`, deployment.ModelName(0))
	got, err := d.post(ctx, 0, "/v1/chat/completions", requestBody, "")
	if err != nil {
		return err
	}
	if got.status != http.StatusOK || !strings.HasSuffix(got.text, "data: [DONE]\n\n") {
		return fmt.Errorf("%w: streamed completion: status %d, answer %q", errUnexpectedResult, got.status, got.text)
	}
	d.addRow("streamed completion", d.deployment.Entries()[0].Name, "complete", fmt.Sprintf("%d events, end marker received", strings.Count(got.text, "data: ")))
	return nil
}

// showIdempotentCall sends the same call twice under one idempotency key and checks that the ledger ran it once.
func (d *demonstration) showIdempotentCall(ctx context.Context) error {
	entryCount := len(d.deployment.Entries())
	for i := range 2 {
		entry := i % entryCount
		got, err := d.post(ctx, entry, "/services/ledger/events", `{"id":"refill-sale-1"}`, "refill-sale-1")
		if err != nil {
			return err
		}
		if got.status != http.StatusCreated {
			return fmt.Errorf("%w: ledger event: status %d, answer %q", errUnexpectedResult, got.status, got.text)
		}
		result := "run"
		if got.replayed {
			result = "answer replayed"
		}
		d.addRow("ledger event refill-sale-1", d.deployment.Entries()[entry].Name, result, got.text)
	}
	runs := d.deployment.LedgerCounts().Runs("refill-sale-1")
	d.addRow("ledger count", "", fmt.Sprintf("%d run", runs), "counted by the ledger itself")
	if runs != 1 {
		return fmt.Errorf("%w: the event ran %d times", errUnexpectedResult, runs)
	}
	return nil
}

// showPlanEdit adds a plan to the allowances and assigns it to a customer.
func (d *demonstration) showPlanEdit(ctx context.Context) error {
	size := d.deployment.Size()
	plans := strings.Replace(size.Plans(), "plan = counter", "plan = evening", 1)
	allowances := size.Allowances() + "\n[plan evening]\nmodels = *\nadapters = *\nservices = ledger\n"
	if err := d.applyEdit(ctx, operator.Allowances, allowances, "plan evening is added"); err != nil {
		return err
	}
	return d.applyEdit(ctx, operator.Plans, plans, "a customer moves to plan evening")
}

// showAllowanceEdit limits that plan to one model and checks that every entry refuses the customer another model.
func (d *demonstration) showAllowanceEdit(ctx context.Context) error {
	size := d.deployment.Size()
	allowances := size.Allowances() + fmt.Sprintf("\n[plan evening]\nmodels = %s\n", deployment.ModelName(1))
	if err := d.applyEdit(ctx, operator.Allowances, allowances, "plan evening is limited to one model"); err != nil {
		return err
	}
	body := fmt.Sprintf(`{"model":%q,"prompt":"x"}`, deployment.ModelName(0))
	for i, role := range d.deployment.Entries() {
		got, err := d.post(ctx, i, "/v1/completions", body, "")
		if err != nil {
			return err
		}
		if got.status != http.StatusNotFound {
			return fmt.Errorf("%w: model outside the plan: status %d, answer %q", errUnexpectedResult, got.status, got.text)
		}
		d.addRow("model outside the plan", role.Name, "refused", "the edit is in force here")
	}
	return nil
}

// applyEdit replaces a list and waits until it is in force on all nodes.
func (d *demonstration) applyEdit(ctx context.Context, list, text, detail string) error {
	o, err := d.deployment.Operator()
	if err != nil {
		return err
	}
	defer o.Close()
	current, err := o.Current(ctx)
	if err != nil {
		return err
	}
	baseVersion := current.Message().GetPlansVersion()
	if list == operator.Allowances {
		baseVersion = current.Message().GetAllowancesVersion()
	}
	applied, err := o.Apply(ctx, list, []byte(text), baseVersion)
	if err != nil {
		return err
	}
	d.addRow("edit of "+list, "", fmt.Sprintf("accepted, version %d", applied.ListVersion), fmt.Sprintf("%s; in force in %d availability zones", detail, len(applied.InForce)))
	return nil
}

// post sends a request with the key of the first customer to an entry, and an idempotency key if key is not empty.
func (d *demonstration) post(ctx context.Context, entry int, path, body, key string) (answer, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, d.deployment.URL(entry)+path, bytes.NewBufferString(body))
	if err != nil {
		return answer{}, fmt.Errorf("build a request of the demo: %w", err)
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
		return answer{}, fmt.Errorf("read the answer to a request of the demo: %w", err)
	}
	replayed := response.Header.Get("Idempotent-Replayed") == "true"
	return answer{status: response.StatusCode, replayed: replayed, text: string(text)}, nil
}

// writeOperatorSettings writes a settings file for the operators' commands, unless path is empty. Only its owner may
// read it, as it holds the shared secret.
func writeOperatorSettings(path string, d *deployment.Deployment) error {
	if path == "" {
		return nil
	}
	if err := os.WriteFile(path, []byte(d.OperatorSettings()), settingsFileMode); err != nil {
		return fmt.Errorf("write the settings for operators' commands: %w", err)
	}
	return nil
}
