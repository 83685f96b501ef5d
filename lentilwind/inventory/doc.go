// Package inventory has the operators' document: what they own, who may call, and the rules for requests.
package inventory
