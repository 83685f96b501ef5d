// Package budget grants entries their shares of the connections to databases while this process leads.
package budget
