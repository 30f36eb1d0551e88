// Package limit enforces the contracts of workspaces and shares the capacity of services fairly between workspaces.
//
// On the leader, an Allocator splits each contract into grants, one for each instance. What a grant allows is the
// instance's share of the contract. The sum of all grants that may be in use never exceeds the contract. On every
// instance, a Limiter admits requests within the grants it holds, and a Semaphore for each service shares the service's
// concurrent calls fairly between workspaces. Admission without waiting uses only atomic operations, except for the
// first request of a workspace.
package limit
