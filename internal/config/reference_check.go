package config

import (
	"fmt"
	"slices"
	"sort"
	"strings"
)

// reference is a field of a declaration that names another declaration.
type reference struct {
	field string
	to    ID
}

func references(value Value) []reference {
	switch typed := value.(type) {
	case *Service:
		return listReferences("models", KindModel, typed.Models)
	case *Tenant:
		return listReferences("services", KindService, typed.Services)
	case *Job:
		return []reference{
			{"tenant", ID{KindTenant, typed.Tenant}},
			{"service", ID{KindService, typed.Service}},
			{"priority", ID{KindPriority, typed.Priority}},
		}
	}
	return nil
}

func listReferences(field string, kind Kind, names []string) []reference {
	list := make([]reference, 0, len(names))
	for index, name := range names {
		list = append(list, reference{fmt.Sprintf("%s[%d]", field, index), ID{kind, name}})
	}
	return list
}

// checkReferences checks the whole configuration that would result from a change. A
// declaration that is not in the file has no position; the message of its problem
// names it instead.
func checkReferences(resulting declarationSet) []referenceProblem {
	var problems []referenceProblem
	for _, declaration := range resulting.sorted() {
		for _, reference := range references(declaration.Value) {
			if _, present := resulting[reference.to]; !present {
				problems = append(problems, newReferenceProblem(declaration, reference.field, fmt.Sprintf("%s does not exist; there are %s",
					reference.to, nameList(resulting, reference.to.Kind))))
			}
		}
		if job, isJob := declaration.Value.(*Job); isJob {
			problems = append(problems, checkJob(declaration, job, resulting)...)
		}
	}
	problems = append(problems, checkRanks(resulting)...)
	return append(problems, checkKeyDigests(resulting)...)
}

// checkJob checks that the priority of a job is a batch priority and that its tenant
// may use its service.
func checkJob(declaration Declaration, job *Job, resulting declarationSet) []referenceProblem {
	var problems []referenceProblem
	if priority, present := resulting[ID{KindPriority, job.Priority}]; present && priority.Value.(*Priority).Online {
		problems = append(problems, newReferenceProblem(declaration, "priority",
			fmt.Sprintf("Priority %s is for online requests; a job needs one with online: false", job.Priority)))
	}
	tenant, present := resulting[ID{KindTenant, job.Tenant}]
	if !present {
		return problems
	}
	if services := tenant.Value.(*Tenant).Services; len(services) > 0 && !slices.Contains(services, job.Service) {
		problems = append(problems, newReferenceProblem(declaration, "service", fmt.Sprintf("Tenant %s may not use Service %s; allowed are %s",
			job.Tenant, job.Service, strings.Join(services, ", "))))
	}
	return problems
}

// checkRanks checks that each batch priority ranks below every online priority,
// because engines order requests by rank alone.
func checkRanks(resulting declarationSet) []referenceProblem {
	var lowest *Priority
	for _, declaration := range resulting.sorted() {
		if priority, isPriority := declaration.Value.(*Priority); isPriority && priority.Online {
			if lowest == nil || priority.Rank < lowest.Rank {
				lowest = priority
			}
		}
	}
	if lowest == nil {
		return nil
	}
	var problems []referenceProblem
	for _, declaration := range resulting.sorted() {
		if priority, isPriority := declaration.Value.(*Priority); isPriority && !priority.Online && priority.Rank >= lowest.Rank {
			problems = append(problems, newReferenceProblem(declaration, "rank", fmt.Sprintf(
				"a batch priority must rank below every online one; Priority %s has rank %d", lowest.Name, lowest.Rank)))
		}
	}
	return problems
}

// checkKeyDigests checks that no key belongs to two tenants.
func checkKeyDigests(resulting declarationSet) []referenceProblem {
	var problems []referenceProblem
	owners := map[string]string{}
	for _, declaration := range resulting.sorted() {
		tenant, isTenant := declaration.Value.(*Tenant)
		if !isTenant {
			continue
		}
		for index, digest := range tenant.KeyDigests {
			if owner, taken := owners[digest]; taken {
				problems = append(problems, newReferenceProblem(declaration, fmt.Sprintf("keyDigests[%d]", index),
					"the same key belongs to Tenant "+owner))
				continue
			}
			owners[digest] = tenant.Name
		}
	}
	return problems
}

// referenceProblem is a Problem of the declaration with the given id.
type referenceProblem struct {
	Problem
	id ID
}

func newReferenceProblem(declaration Declaration, field, message string) referenceProblem {
	return referenceProblem{problemAt(declaration, field, message), declaration.ID}
}

func problemAt(declaration Declaration, field, message string) Problem {
	position := declaration.Positions.Find(field)
	if position.Line == 0 {
		message = fmt.Sprintf("%s (in force, not in this file): %s", declaration.ID, message)
	}
	return Problem{Position: position, Field: field, Message: message}
}

const maxListedNames = 20

func nameList(set declarationSet, kind Kind) string {
	var names []string
	for id := range set {
		if id.Kind == kind {
			names = append(names, id.Name)
		}
	}
	if len(names) == 0 {
		return "none"
	}
	sort.Strings(names)
	if len(names) > maxListedNames {
		names = append(names[:maxListedNames], "…")
	}
	return strings.Join(names, ", ")
}

// UsersOf returns, as "Kind name", the declarations that refer to id.
func UsersOf(snapshot *Snapshot, id ID) []string {
	return usersOf(snapshot.Declarations(), id)
}

func usersOf(declarations []Declaration, id ID) []string {
	var users []string
	for _, declaration := range declarations {
		for _, reference := range references(declaration.Value) {
			if reference.to == id {
				users = append(users, declaration.String())
				break
			}
		}
	}
	return users
}
