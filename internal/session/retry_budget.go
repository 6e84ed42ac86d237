package session

import (
	"sync"

	"github.com/sloelift/sloelift/internal/config"
)

// maxRetryCredits is a service's initial number of retry credits and their maximum: a service with
// little traffic may make this many retries at once, and a quiet period saves up no more.
const maxRetryCredits = 20.0

// retryBudgets limits each service's retries to a share of its requests, so that retries do
// not overload a failing service further.
type retryBudgets struct {
	mutex sync.Mutex
	// credits holds the number of retries available, by service.
	credits map[string]float64
}

func newRetryBudgets() *retryBudgets {
	return &retryBudgets{credits: map[string]float64{}}
}

// earn adds the credit for one request, a share of RetryBudgetPercent of a retry.
func (b *retryBudgets) earn(service *config.Service) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.credits[service.Name] = min(b.balance(service.Name)+float64(service.RetryBudgetPercent)/100, maxRetryCredits)
}

// spend takes one retry from the budget; it returns false if the budget is used up.
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

// balance returns the service's credits. The caller must hold the mutex.
func (b *retryBudgets) balance(service string) float64 {
	credits, known := b.credits[service]
	if !known {
		return maxRetryCredits
	}
	return credits
}
