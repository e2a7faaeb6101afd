package org.radishpost.pgm;

import com.github.rvesse.airline.annotations.Option;
import io.netty.handler.codec.http.HttpMethod;
import java.util.Optional;
import java.util.UUID;
import org.radishpost.errors.AdminRequestException;

/** A command that requests a change through the administration API. */
public abstract class ChangeCommand extends AdminCommand {
  @Option(
      name = {"--operation"},
      title = "ID",
      description = "The operation id; give the same one again after an unknown outcome.")
  private String operation = UUID.randomUUID().toString();

  /** Creates a command; the command-line parser sets its options. */
  protected ChangeCommand() {}

  /**
   * Sends the request and prints the result.
   *
   * @throws AdminRequestException if the VM cannot be reached, or refuses the token or the request
   */
  final ExitCode sendChange(HttpMethod method, String path, byte[] body)
      throws AdminRequestException {
    AdminClient client = newClient();
    Optional<AdminClientResponse> response =
        client.sendChange(method, path + "?operation=" + operation, body);
    if (response.isEmpty()) {
      return reportUnknownOutcome();
    }
    return switch (response.get().status()) {
      case 200 -> {
        System.out.println("accepted at version " + response.get().json().path("version").asLong());
        yield ExitCode.OK;
      }
      case 202 -> reportUnknownOutcome();
      case 409, 422 -> {
        System.err.println(client.toException(response.get()).getMessage());
        yield ExitCode.REFUSED;
      }
      default -> throw client.toException(response.get());
    };
  }

  private ExitCode reportUnknownOutcome() {
    System.err.println(
        "The outcome is unknown: run the same command again with --operation " + operation + ".");
    return ExitCode.UNKNOWN;
  }
}
