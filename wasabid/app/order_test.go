package app

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"wasabidock.dev/dock/ident"
	"wasabidock.dev/dock/orders"
	"wasabidock.dev/dock/table"
)

// swapped is a table in which two engines have exchanged their models.
const swapped = `centre,name,region
centre,east,r
seat,name,centre,share
seat,east-1,east,1000000
class,name,first_token,token_gap,queue,cross,priority
class,interactive,1200ms,77ms,5s,no,10
model,name,class,piece_tokens,max_prompt,max_output
model,a,interactive,1000,4000,200
model,b,interactive,1000,4000,200
customer,name,weight,rate,burst
customer,calm,1,100,1000
server,name,centre,kind,role,model,service,address,places,rate,link,fenced,orders
server,d1,east,engine,decode,b,,127.0.0.1:1,20,100,1000,yes,yes
server,d2,east,engine,decode,a,,127.0.0.1:2,20,100,1000,yes,yes
server,p1,east,engine,prefill,a,,127.0.0.1:3,20,100,1000,yes,no
server,p2,east,engine,prefill,b,,127.0.0.1:4,20,100,1000,yes,no
`

func TestLastReplicaStaysWhileTheOtherPoolIsNotSeen(t *testing.T) {
	is := is.New(t)
	tab, faults := table.Parse(3, []table.File{{Name: "swapped", Data: []byte(swapped)}})
	is.Equal(len(faults), 0)
	// The scheduler of model b sees d1 only, which serves both models by now.
	seen := []orders.State{{
		Server: "d1", Role: "decode", Fence: 3,
		Models: []orders.Model{{Name: "a"}, {Name: "b"}},
	}}
	given, kept := orders.Plan(3, wants(tab, "east"), seen, orders.Limits{MaxLoads: 1, MaxReportAge: 10 * time.Second})
	for _, o := range given {
		if o.Server == "d1" && o.Kind == orders.Unload {
			t.Errorf("last replica of %s is unloaded", o.Model.Name)
		}
	}
	is.Equal(len(kept), 1)
	is.Equal(kept[0].Server, ident.Server("d1"))
}
