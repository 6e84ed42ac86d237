package node

import (
	"go.uber.org/fx"
)

// Slices are the modules of every slice of a node.
var Slices = fx.Options()
