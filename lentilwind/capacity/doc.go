// Package capacity learns how much work a server takes well: how many statements should run on it at once, and how it compares with others.
package capacity
