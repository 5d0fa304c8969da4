package engine

// Action is the operation that an order requests from an engine.
type Action string

// The actions of an order.
const (
	// ActionCancel ends a stream or drops an exported segment; it is idempotent.
	ActionCancel    Action = "cancel"
	ActionRelease   Action = "release"
	ActionLoadModel Action = "load_model"
	ActionSetRole   Action = "set_role"
)

// Order is the body of POST /orders. An engine that enforces fencing refuses an order whose fence is below the highest one
// it has received.
type Order struct {
	Fence  int64  `json:"fence"`
	Action Action `json:"action"`
	ID     string `json:"id,omitempty"`
	Model  string `json:"model,omitempty"`
	Role   string `json:"role,omitempty"`
}
