package experiment

import (
	"fmt"

	"go.uber.org/fx"

	"github.com/sloelift/sloelift/internal/admission"
	"github.com/sloelift/sloelift/internal/node"
	"github.com/sloelift/sloelift/internal/routing"
)

// Policy is the name of a way to admit batch work alongside online work.
type Policy string

// Policies of a comparison.
const (
	PolicySloelift    Policy = "sloelift"
	PolicyOnlineOnly  Policy = "online-only"
	PolicyFIFO        Policy = "fifo"
	PolicyStaticSplit Policy = "static-split"
)

// Policies returns all policies, starting with the product's own.
func Policies() []Policy {
	return []Policy{PolicySloelift, PolicyOnlineOnly, PolicyFIFO, PolicyStaticSplit}
}

// Check returns an error for an unknown policy.
func (p Policy) Check() error {
	for _, known := range Policies() {
		if p == known {
			return nil
		}
	}
	return fmt.Errorf("no policy %q: %v are known", p, Policies())
}

// nodeOption returns the option that sets the policy of a node.
func (p Policy) nodeOption() node.Option {
	admissionOptions, routingOptions := admission.DefaultOptions(), routing.DefaultOptions()
	admissionOptions.Policy, routingOptions.Policy = routing.Policy(p), routing.Policy(p)
	return node.WithFx(fx.Supply(&admissionOptions, &routingOptions))
}
