// Package maintenance decides in which order machines leave service for maintenance, and stops when the
// fleet is in trouble.
//
// A Table is the replicated state. It applies commands in the order of an agreed log, so the same commands give the
// same state on each voter, and it enforces the hard limits whoever proposes a command, and however often. A Planner
// runs on the coordinator: from what the nodes report it proposes the next step, or says why there is none. A lease
// lets only one node plan at a time, but no limit depends on that.
//
// Both are pure: no I/O, no goroutines, no clock. The table's time advances by the elapsed time that coordinators
// report, so no wall clock matters, and it does not advance while there is no coordinator.
//
// The package drains no node and runs no hook: it decides which machine may.
//
// Sources: Burns et al., "Borg, Omega, and Kubernetes", 2016 (disruption budgets); Kubernetes, "PodDisruptionBudget"
// (involuntary disruptions count); Verma et al., "Large-scale cluster management at Google with Borg", 2015, 4
// (availability, spread over failure domains).
package maintenance
