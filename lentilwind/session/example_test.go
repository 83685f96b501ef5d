package session_test

import (
	"fmt"

	"lentilwind.dev/lentilwind/group"
	"lentilwind.dev/lentilwind/session"
)

func ExampleSigner() {
	signer, err := session.NewSigner([]byte("a secret of the whole fleet"))
	if err != nil {
		panic(err)
	}
	order := group.ID{Service: "inventario-1", Slot: 2}
	state := session.State{Workspace: "florists"}
	state.Raise(order, group.Floor{Term: 7, Position: 120})
	token := signer.Sign(state)

	// Any other entry with the same secret accepts the token.
	verified, err := signer.Verify(token, "florists")
	floor, known := verified.Floor(order)
	fmt.Println(floor.Term, floor.Position, known, err)
	_, err = signer.Verify(token, "stallholders")
	fmt.Println(err)
	// Output:
	// 7 120 true <nil>
	// session: invalid token: not signed for the workspace
}
