// Package coldstart bounds what a cold database gets from the whole fleet: one that has started recently, whose caches are empty.
//
// The bound is kept by the ledger of workspace quotas. Each cold database has an account there, so its bound is exact over all entries, also
// while some of them are cut off.
package coldstart
