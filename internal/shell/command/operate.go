package command

import (
	"encoding/json"
	"net/http"
	"time"

	"rosemarylb/internal/peer/operator"

	"github.com/cockroachdb/errors"
)

// requestTimeout limits an HTTP request to the operator address of an instance.
const requestTimeout = 3 * time.Second

// getJSON requests a path of an operator address and decodes the JSON response
// into target.
func getJSON(address, path string, target any) error {
	client := &http.Client{
		Timeout: requestTimeout,
	}
	response, err := client.Get("http://" + address + path)
	if err != nil {
		return errors.Wrap(err, "request to the instance")
	}
	defer func() {
		_ = response.Body.Close()
	}()
	if response.StatusCode != http.StatusOK {
		return errors.Newf("the instance responded with status %d", response.StatusCode)
	}
	return errors.Wrap(json.NewDecoder(response.Body).Decode(target), "decode the response")
}

type dumpCommand struct {
	*environment

	Address string `long:"operator" env:"ROSEMARYLB_OPERATOR_ADDRESS" default:"127.0.0.1:6434" description:"operator address of the instance"`
}

// Execute implements flags.Commander.
func (c *dumpCommand) Execute([]string) error {
	var d operator.Dump
	if err := getJSON(c.Address, "/dump", &d); err != nil {
		return err
	}
	return printJSON(c.environment, d)
}

type drainCommand struct {
	*environment

	Address string `long:"operator" env:"ROSEMARYLB_OPERATOR_ADDRESS" default:"127.0.0.1:6434" description:"operator address of the instance"`
}

// Execute implements flags.Commander.
func (c *drainCommand) Execute([]string) error {
	client := &http.Client{
		Timeout: requestTimeout,
	}
	response, err := client.Post("http://"+c.Address+"/drain", "text/plain", nil)
	if err != nil {
		return errors.Wrap(err, "request to the instance")
	}
	defer func() {
		_ = response.Body.Close()
	}()
	if response.StatusCode != http.StatusOK {
		return errors.Newf("the instance responded with status %d", response.StatusCode)
	}
	_, err = c.out.Write([]byte("draining\n"))
	return errors.Wrap(err, "print")
}
