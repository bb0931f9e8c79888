package vmlist

import (
	"context"
	"sync"
	"time"

	"gypsumbank/jsonclient"
)

const (
	// RoleEntry is the role of a VM that serves callers.
	RoleEntry = "entry"
	// RoleModel is the role of a VM with a model engine.
	RoleModel = "model"
	// RoleService is the role of a VM with a plain service.
	RoleService = "service"

	requestTimeout = 2 * time.Second
)

// VM is an entry of the list.
type VM struct {
	Name             string `json:"name"`
	Address          string `json:"address"`
	AvailabilityZone string `json:"availability-zone"`
	Role             string `json:"role"`
	Service          string `json:"service,omitempty"`
	Leaving          bool   `json:"leaving"` // the VM is about to be removed
}

// Client fetches the list and caches it by its ETag, so that an unchanged list is not transferred again. The list lags behind
// the actual state of the VMs.
type Client struct {
	json *jsonclient.Client

	mu     sync.Mutex
	etag   string
	cached []VM
}

// maxAnswerBytes is enough for a list of some 20,000 VMs.
const maxAnswerBytes = 4 << 20

// New returns a client for the list served at address.
func New(address string) *Client { return &Client{json: jsonclient.New(address, maxAnswerBytes)} }

// VMs returns all listed VMs, including those with Leaving set. Callers must not modify the slice, which is shared.
func (c *Client) VMs(ctx context.Context) ([]VM, error) {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	c.mu.Lock()
	defer c.mu.Unlock()
	var vms []VM
	etag, changed, err := c.json.GetIfChanged(ctx, "/vms", c.etag, &vms)
	if err != nil {
		return nil, err
	}
	if changed {
		c.etag, c.cached = etag, vms
	}
	return c.cached, nil
}
