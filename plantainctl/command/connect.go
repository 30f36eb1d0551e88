package command

import (
	"os"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v3"

	"plantainlane/plantainctl/operator"
)

const (
	envInstances  = "PLANTAINCTL_INSTANCES"
	envCredential = "PLANTAINCTL_CREDENTIAL"
)

func rootFlags() []cli.Flag {
	return []cli.Flag{
		&cli.StringSliceFlag{
			Name:    "instance",
			Aliases: []string{"i"},
			Usage:   "operators' `ADDRESS` (IP:PORT) of an instance; give several to go on when one can't answer",
			Sources: cli.EnvVars(envInstances),
		},
		&cli.StringFlag{
			Name:  "credential-file",
			Usage: "`FILE` that holds the operator's credential; default: the variable " + envCredential,
		},
		&cli.DurationFlag{
			Name:  "timeout",
			Usage: "longest `DURATION` of one call to one instance",
			Value: operator.DefaultTimeout,
		},
		&cli.BoolFlag{Name: "json", Usage: "print JSON"},
	}
}

func connect(c *cli.Command) (*operator.Client, error) {
	addresses := c.StringSlice("instance")
	if len(addresses) == 0 {
		return nil, errors.Wrap(ErrUsage, "no --instance is given and "+envInstances+" is not set")
	}
	credential := os.Getenv(envCredential)
	if file := c.String("credential-file"); file != "" {
		text, err := os.ReadFile(file)
		if err != nil {
			return nil, errors.Wrap(err, "read credential")
		}
		credential = strings.TrimSpace(string(text))
	}
	if credential == "" {
		return nil, errors.Wrap(ErrUsage, "no --credential-file is given and "+envCredential+" is not set")
	}
	return operator.New(addresses, credential, operator.WithTimeout(c.Duration("timeout"))), nil
}
