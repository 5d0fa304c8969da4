package lab

import (
	"testing"

	"github.com/acacialift/acacialift/internal/testkit"
)

func TestLab(t *testing.T) { testkit.RunSpecs(t, "lab") }
