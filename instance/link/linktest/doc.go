// Package linktest gives tests endpoints of one throwaway fleet on loopback.
package linktest
