package org.radishpost.pgm;

import com.github.rvesse.airline.annotations.Arguments;
import com.github.rvesse.airline.annotations.Command;
import org.radishpost.errors.RadishpostException;

/** Lists the gateways or prints the manifest of one. */
@Command(
    name = "show",
    description = "List the gateways, or show the manifest of one with its version.")
public final class ShowCommand extends AdminCommand {
  @Arguments(title = "GATEWAY", description = "The gateway; all are listed without it.")
  private String gateway = "";

  /** Creates the command; called by the command-line parser. */
  public ShowCommand() {}

  @Override
  protected ExitCode run() throws RadishpostException {
    String path = gateway.isEmpty() ? "/v1/gateways" : GatewayPaths.of(gateway);
    System.out.println(newClient().get(path).toPrettyString());
    return ExitCode.OK;
  }
}
