package policy_test

import (
	"strings"
	"testing"
	"time"

	"lentilwind.dev/lentilwind/policy"
)

func TestBuilderRefusesInvalidConfigurations(t *testing.T) {
	route := policy.Route{Database: "orders", Service: "stock", Timeout: time.Second}
	for want, build := range map[string]func(b *policy.Builder){
		"unknown service": func(b *policy.Builder) { b.AddRoute(route) },
		"two routes": func(b *policy.Builder) {
			b.AddService(policy.Service{Name: "stock"})
			b.AddRoute(route)
			b.AddRoute(route)
		},
		"must be above 0": func(b *policy.Builder) {
			b.AddService(policy.Service{Name: "stock"})
			b.AddRoute(policy.Route{Database: "orders", Service: "stock"})
		},
		"share a key": func(b *policy.Builder) {
			b.AddWorkspace(policy.Workspace{Name: "a", Keys: []string{"k"}})
			b.AddWorkspace(policy.Workspace{Name: "b", Keys: []string{"k"}})
		},
		"stands twice": func(b *policy.Builder) {
			b.AddService(policy.Service{Name: "stock"})
			b.AddService(policy.Service{Name: "stock"})
		},
	} {
		b := policy.NewBuilder(3)
		build(b)
		if _, err := b.Build(); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%s: %v", want, err)
		}
	}
}
