package session

import (
	"sync"

	"github.com/sloelift/sloelift/internal/config"
)

// retryFloor is the number of retries that a service with little traffic may make at once,
// and the bound of what a quiet time saves up.
const retryFloor = 20.0

// retryBudgets keeps, for each service, retries to a share of its requests, so that a
// failing service is not loaded further by its own retries.
type retryBudgets struct {
	mutex   sync.Mutex
	credits map[string]float64
}

func newRetryBudgets() *retryBudgets {
	return &retryBudgets{credits: map[string]float64{}}
}

// earn adds the share of one request.
func (b *retryBudgets) earn(service *config.Service) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.credits[service.Name] = min(b.balance(service.Name)+float64(service.RetryBudgetPercent)/100, retryFloor)
}

// spend takes one retry; false where the budget is used up.
func (b *retryBudgets) spend(service *config.Service) bool {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	balance := b.balance(service.Name)
	if service.RetryBudgetPercent == 0 || balance < 1 {
		return false
	}
	b.credits[service.Name] = balance - 1
	return true
}

// balance is called with the mutex held.
func (b *retryBudgets) balance(service string) float64 {
	credits, known := b.credits[service]
	if !known {
		return retryFloor
	}
	return credits
}
