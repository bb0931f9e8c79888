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

	plansText      []byte
	allowancesText []byte
}

// New parses a snapshot message and checks that the lists agree.
func New(message *wire.Snapshot) (*Snapshot, error) {
	s := &Snapshot{message: message}
	var err error
	if s.plansText, err = decompress("plans", message.GetPlans()); err != nil {
		return nil, err
	}
	if s.allowancesText, err = decompress("allowances", message.GetAllowances()); err != nil {
		return nil, err
	}
	if s.plans, err = plan.New("plans", s.plansText); err != nil {
		return nil, err
	}
	if s.allowances, err = allowance.New("allowances", s.allowancesText); err != nil {
		return nil, err
	}
	return s, s.check()
}

// Message returns the message that the snapshot was parsed from.
func (s *Snapshot) Message() *wire.Snapshot { return s.message }

// Version returns the version of the snapshot.
func (s *Snapshot) Version() uint64 { return s.message.GetVersion() }

// Plans returns the list of customers' plans.
func (s *Snapshot) Plans() *plan.List { return s.plans }

// Allowances returns the list of what each plan may use.
func (s *Snapshot) Allowances() *allowance.List { return s.allowances }

// PlansText returns the list of customers' plans as it was accepted.
func (s *Snapshot) PlansText() []byte { return s.plansText }

// AllowancesText returns the list of what each plan may use as it was accepted.
func (s *Snapshot) AllowancesText() []byte { return s.allowancesText }

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
		if _, ok := s.allowances.MemberShare(customer.Member()); !ok {
			return fmt.Errorf("customer %s: member %q is not in the allowances: %w", name, customer.Member(), ErrInconsistent)
		}
	}
	return nil
}
