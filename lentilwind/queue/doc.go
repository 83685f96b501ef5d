// Package queue orders requests that wait for a scarce resource: priority classes, weighted fairness, deadlines and early refusal.
package queue
