// Package limit holds workspaces to their contracts and shares an instance between them.
//
// On the leader an Allocator splits each contract into grants, so that the sum over all grants that may be in use
// never exceeds the contract. On every instance a Limiter admits requests within the grants it holds, and a
// Semaphore for each service shares the service's capacity fairly between workspaces. Admission without waiting
// uses atomics alone.
package limit
