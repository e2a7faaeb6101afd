package org.radishpost.pgm;

import com.github.rvesse.airline.annotations.Option;
import java.util.Map;
import org.radishpost.errors.AdminRequestException;
import org.radishpost.lib.Endpoint;

/** A command that uses the administration API of a VM. */
public abstract class AdminCommand extends CliCommand {
  @Option(
      name = {"--admin"},
      title = "IP:PORT",
      description = "The administration address of a VM.")
  private String admin = "127.0.0.1:8090";

  @Option(
      name = {"--token-env"},
      title = "NAME",
      description = "The environment variable that holds the token.")
  private String tokenEnv = "RADISHPOST_TOKEN";

  /** Creates a command; the command-line parser sets its options. */
  protected AdminCommand() {}

  /**
   * Creates a client for the VM and the token that the options specify.
   *
   * @throws AdminRequestException if the address is malformed or there is no token
   */
  final AdminClient newClient() throws AdminRequestException {
    return new AdminClient(parseAddress(admin), token());
  }

  /**
   * Returns the token from the environment.
   *
   * @throws AdminRequestException if the environment variable is not set or is blank
   */
  final String token() throws AdminRequestException {
    Map<String, String> environment = Environment.variables();
    String token = environment.getOrDefault(tokenEnv, "");
    if (token.isBlank()) {
      throw new AdminRequestException(
          "The environment variable " + tokenEnv + " is empty: set it to the token.");
    }
    return token;
  }

  /**
   * Parses an address.
   *
   * @throws AdminRequestException if the address is malformed
   */
  static Endpoint parseAddress(String text) throws AdminRequestException {
    try {
      return Endpoint.parse(text);
    } catch (IllegalArgumentException e) {
      throw new AdminRequestException(e.getMessage() + ": specify --admin IP:PORT.", e);
    }
  }
}
