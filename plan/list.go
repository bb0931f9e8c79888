package plan

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"fmt"
	"regexp"

	"gypsumbank/inifile"
)

const (
	keyHashBytes = sha256.Size
	nameRule     = "letters, digits, dots, dashes and underscores, at most 64"
)

var namePattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,63}$`)

// Customer is an entry of the list: a customer with its member, its plan and the SHA-256 hash of its key.
type Customer struct {
	name    string
	member  string
	plan    string
	keyHash [keyHashBytes]byte
}

// Name returns the name of the customer.
func (c Customer) Name() string { return c.name }

// Member returns the name of the consortium member that the customer belongs to.
func (c Customer) Member() string { return c.member }

// Plan returns the name of the customer's plan.
func (c Customer) Plan() string { return c.plan }

// List is one version of the list of customers.
type List struct {
	version       uint64
	customers     map[string]Customer
	nameByKeyHash map[[keyHashBytes]byte]string
}

// New parses the text of a list; the error wraps inifile.ErrInvalid if any part of it is invalid.
func New(name string, data []byte) (*List, error) {
	file, err := inifile.New(name, data)
	if err != nil {
		return nil, err
	}
	list := &List{customers: map[string]Customer{}, nameByKeyHash: map[[keyHashBytes]byte]string{}}
	list.version = uint64(file.Int("DEFAULT", "version", 0, 0, 1<<53))
	for _, customer := range file.SectionNames("customer") {
		list.add(file, customer)
	}
	if err := file.Err(); err != nil {
		return nil, err
	}
	return list, nil
}

// HashKey returns the SHA-256 hash of a key in hexadecimal digits, as the list contains it.
func HashKey(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

// Version returns the version of the list that this text was edited from.
func (l *List) Version() uint64 { return l.version }

// Customers returns all customers by name.
func (l *List) Customers() map[string]Customer { return l.customers }

// Authenticate returns the customer with the given key, if there is one.
func (l *List) Authenticate(key string) (Customer, bool) {
	sum := sha256.Sum256([]byte(key))
	customer, ok := l.customers[l.nameByKeyHash[sum]]
	if !ok {
		return Customer{}, false
	}
	match := subtle.ConstantTimeCompare(customer.keyHash[:], sum[:]) == 1
	return customer, match
}

// add parses the section of one customer and reports its invalid values to file.
func (l *List) add(file *inifile.File, name string) {
	section := "customer " + name
	if !namePattern.MatchString(name) {
		file.AddProblem(section, "name", "is not allowed; allowed: "+nameRule)
	}
	customer := Customer{
		name:   name,
		member: file.Required(section, "member", "the name of a member"),
		plan:   file.Required(section, "plan", "the name of a plan"),
	}
	hash, err := hex.DecodeString(file.Required(section, "key-sha256", "64 hexadecimal digits"))
	if err != nil || len(hash) != keyHashBytes {
		file.AddProblem(section, "key-sha256", "is not allowed; allowed: 64 hexadecimal digits")
		return
	}
	copy(customer.keyHash[:], hash)
	if other, duplicate := l.nameByKeyHash[customer.keyHash]; duplicate {
		file.AddProblem(section, "key-sha256", fmt.Sprintf("is also the key of customer %s", other))
	}
	l.customers[name] = customer
	l.nameByKeyHash[customer.keyHash] = name
}
