package engine

// Action is what an order asks an engine to do.
type Action string

// The actions of an order.
const (
	// ActionCancel ends a stream or drops an exported segment; it is safe to repeat.
	ActionCancel    Action = "cancel"
	ActionRelease   Action = "release"
	ActionLoadModel Action = "load_model"
	ActionSetRole   Action = "set_role"
)

// Order is the body of POST /orders. An engine that enforces fencing refuses a number below the highest it saw.
type Order struct {
	Fence  int64  `json:"fence"`
	Action Action `json:"action"`
	ID     string `json:"id,omitempty"`
	Model  string `json:"model,omitempty"`
	Role   string `json:"role,omitempty"`
}
