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

// edit is a requested change: declarations to put, or one to withdraw.
type edit struct {
	put      []Declaration
	withdraw *ID
}

// plan is the effect of an edit on one revision.
type plan struct {
	changes []Change
	// objects are the corresponding changes of object keys.
	objects []platform.Change
}

// planEdit checks the configuration that results from the edit and returns the
// changes. Unchanged declarations are left out.
func planEdit(current declarationSet, requested edit) (plan, error) {
	if requested.withdraw != nil {
		return planWithdraw(current, *requested.withdraw)
	}
	resulting := make(declarationSet, len(current)+len(requested.put))
	for id, declaration := range current {
		resulting[id] = declaration
	}
	for _, declaration := range requested.put {
		resulting[declaration.ID] = declaration
	}
	if err := newReferenceError(resulting); err != nil {
		return plan{}, err
	}
	var planned plan
	for _, declaration := range requested.put {
		planned.add(current, declaration)
	}
	return planned, nil
}

func (p *plan) add(current declarationSet, declaration Declaration) {
	change := Change{Kind: declaration.Kind, Name: declaration.Name, Action: ActionCreate, After: declaration.YAML()}
	if before, exists := current[declaration.ID]; exists {
		change.Action, change.Before = ActionReplace, before.YAML()
	}
	if change.Before == change.After {
		return
	}
	p.changes = append(p.changes, change)
	p.objects = append(p.objects, platform.Change{Key: objectKey(declaration.ID), Value: declaration.JSON()})
}

func planWithdraw(current declarationSet, id ID) (plan, error) {
	declaration, exists := current[id]
	if !exists {
		return plan{}, newNotFoundError(id)
	}
	if users := usersOf(current.sorted(), id); len(users) > 0 {
		return plan{}, &InUseError{Kind: id.Kind, Name: id.Name, Users: users}
	}
	return plan{
		changes: []Change{{Kind: id.Kind, Name: id.Name, Action: ActionWithdraw, Before: declaration.YAML()}},
		objects: []platform.Change{{Key: objectKey(id), Delete: true}},
	}, nil
}
