package operator

import (
	"context"
	"fmt"
	"strings"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"

	apiv1 "github.com/jasminesaddle/jasminesaddle/internal/api/v1"
	"github.com/jasminesaddle/jasminesaddle/internal/api/v1/apiv1connect"
)

func (c *command) evacuationCommand() *ffcli.Command {
	list := &ffcli.Command{
		Name:       "list",
		ShortUsage: "jasminectl evacuation list",
		ShortHelp:  "Show the evacuations and what still runs there.",
		Exec: func(ctx context.Context, _ []string) error {
			resp, err := c.status(ctx)
			if err != nil {
				return err
			}
			return c.print(&apiv1.StatusResponse{Evacuations: resp.GetEvacuations()}, evacuationsText(resp.GetEvacuations()))
		},
	}
	return groupCommand("evacuation", "Evacuate failure domains.", list,
		c.setEvacuatedCommand("start", "Send nothing new to the backend servers of a failure domain.", true),
		c.setEvacuatedCommand("end", "Use the backend servers of a failure domain again.", false))
}

func (c *command) setEvacuatedCommand(name, help string, evacuated bool) *ffcli.Command {
	return &ffcli.Command{
		Name:       name,
		ShortUsage: "jasminectl evacuation " + name + " FAILURE-DOMAIN",
		ShortHelp:  help,
		Exec: func(ctx context.Context, args []string) error {
			if len(args) != 1 {
				return usageError("name one failure domain")
			}
			resp, err := call(ctx, c, func(ctx context.Context, o apiv1connect.OperatorServiceClient) (*apiv1.SetEvacuatedResponse, error) {
				return o.SetEvacuated(ctx, &apiv1.SetEvacuatedRequest{Cluster: c.connection.Cluster, FailureDomain: args[0], Evacuated: evacuated})
			})
			if err != nil {
				return err
			}
			text := "accepted"
			if !resp.GetApplied() {
				text = "accepted; it was so already"
			}
			return c.print(resp, text)
		},
	}
}

func evacuationsText(list []*apiv1.EvacuationStatus) string {
	if len(list) == 0 {
		return "no failure domain was evacuated"
	}
	var lines []string
	for _, e := range list {
		lines = append(lines, fmt.Sprintf("evacuation %s evacuated=%t since=%s engines=%d in_flight=%d", e.GetFailureDomain(), e.GetEvacuated(),
			time.UnixMilli(e.GetSinceUnixMs()).UTC().Format(time.RFC3339), e.GetEngines(), e.GetInFlight()))
	}
	return strings.Join(lines, "\n")
}
