package snapshot

import (
	"errors"
	"fmt"
	"sort"

	"gypsumbank/allowance"
	"gypsumbank/plan"
	"gypsumbank/wire"
)

// ErrInconsistent reports that the two lists do not agree with one another.
var ErrInconsistent = errors.New("lists do not agree")

// Snapshot is the parsed pair of lists at one version; the zero version holds empty lists.
type Snapshot struct {
	message    *wire.Snapshot
	plans      *plan.List
	allowances *allowance.List
}

// New parses a snapshot message and checks that the lists agree.
func New(message *wire.Snapshot) (*Snapshot, error) {
	plans, err := plan.New("plans", message.GetPlans())
	if err != nil {
		return nil, err
	}
	allowances, err := allowance.New("allowances", message.GetAllowances())
	if err != nil {
		return nil, err
	}
	snapshot := &Snapshot{message: message, plans: plans, allowances: allowances}
	return snapshot, snapshot.check()
}

// Message returns the message that the snapshot was parsed from.
func (s *Snapshot) Message() *wire.Snapshot { return s.message }

// Version returns the version of the snapshot.
func (s *Snapshot) Version() uint64 { return s.message.GetVersion() }

// Plans returns the list of customers' plans.
func (s *Snapshot) Plans() *plan.List { return s.plans }

// Allowances returns the list of what each plan may use.
func (s *Snapshot) Allowances() *allowance.List { return s.allowances }

func (s *Snapshot) check() error {
	customers := s.plans.Customers()
	names := make([]string, 0, len(customers))
	for name := range customers {
		names = append(names, name)
	}
	sort.Strings(names)
	for _, name := range names {
		customer := customers[name]
		if _, ok := s.allowances.Plan(customer.Plan()); !ok {
			return fmt.Errorf("customer %s: plan %q is not in the allowances: %w", name, customer.Plan(), ErrInconsistent)
		}
		if _, ok := s.allowances.Member(customer.Member()); !ok {
			return fmt.Errorf("customer %s: member %q is not in the allowances: %w", name, customer.Member(), ErrInconsistent)
		}
	}
	return nil
}
