package config

import (
	"github.com/sloelift/sloelift/internal/platform"
)

// Actions of a Change.
const (
	ActionCreate   = "create"
	ActionReplace  = "replace"
	ActionWithdraw = "withdraw"
)

// edit is what an operator asks for: declarations to put, and one to withdraw.
type edit struct {
	put      []Declaration
	withdraw *ID
}

// plan is an edit worked out against one revision.
type plan struct {
	changes []Change
	// objects are the changes of object keys that lead there.
	objects []platform.Change
}

// planEdit checks the configuration that the edit leads to and lists the changes.
// Declarations that stay as they are make no change.
func planEdit(present declarationSet, wanted edit) (plan, error) {
	if wanted.withdraw != nil {
		return planWithdraw(present, *wanted.withdraw)
	}
	resulting := make(declarationSet, len(present)+len(wanted.put))
	for id, declaration := range present {
		resulting[id] = declaration
	}
	for _, declaration := range wanted.put {
		resulting[declaration.ID] = declaration
	}
	if err := newReferenceError(resulting); err != nil {
		return plan{}, err
	}
	var planned plan
	for _, declaration := range wanted.put {
		planned.add(present, declaration)
	}
	return planned, nil
}

func (p *plan) add(present declarationSet, declaration Declaration) {
	change := Change{Kind: declaration.Kind, Name: declaration.Name, Action: ActionCreate, After: declaration.YAML()}
	if before, exists := present[declaration.ID]; exists {
		change.Action, change.Before = ActionReplace, before.YAML()
	}
	if change.Before == change.After {
		return
	}
	p.changes = append(p.changes, change)
	p.objects = append(p.objects, platform.Change{Key: objectKey(declaration.ID), Value: declaration.JSON()})
}

func planWithdraw(present declarationSet, id ID) (plan, error) {
	declaration, exists := present[id]
	if !exists {
		return plan{}, newAbsentError(id)
	}
	if users := usersOf(present.sorted(), id); len(users) > 0 {
		return plan{}, &InUseError{Kind: id.Kind, Name: id.Name, Users: users}
	}
	return plan{
		changes: []Change{{Kind: id.Kind, Name: id.Name, Action: ActionWithdraw, Before: declaration.YAML()}},
		objects: []platform.Change{{Key: objectKey(id), Delete: true}},
	}, nil
}
