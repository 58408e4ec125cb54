package orders_test

import (
	"fmt"
	"time"

	"wasabidock.dev/dock/orders"
)

func ExamplePlan() {
	dossier := orders.Model{Name: "dossier", Version: "2"}
	desired := []orders.DesiredState{
		{Server: "d1", Role: orders.RoleDecode, Models: []orders.Model{dossier}, Fenced: true},
		{Server: "d2", Role: orders.RoleDecode, Fenced: true},
	}
	states := []orders.State{
		{Server: "d1", Role: orders.RoleDecode},
		{Server: "d2", Role: orders.RoleDecode, Models: []orders.Model{dossier}},
	}
	planned, withheld := orders.Plan(7, desired, states, orders.Limits{MaxLoads: 1, MaxReportAge: time.Second})
	for _, o := range planned {
		fmt.Println("order", o.Server, o.Kind, o.Model.Name, o.Fence)
	}
	for _, k := range withheld {
		fmt.Println("kept", k.Server, k.Kind, k.Model.Name)
	}
	// Output:
	// order d1 load dossier 7
	// kept d2 unload dossier
}
