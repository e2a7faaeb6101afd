package org.radishpost.pgm;

import com.github.rvesse.airline.annotations.Option;
import io.netty.handler.codec.http.HttpMethod;
import java.util.Optional;
import java.util.UUID;
import org.radishpost.errors.AdminRequestException;

/** A command that wants a change through the administration API. */
public abstract class ChangeCommand extends AdminCommand {
  @Option(
      name = {"--operation"},
      title = "ID",
      description = "The operation id; give the same one again after an unknown outcome.")
  private String operation = UUID.randomUUID().toString();

  /** Creates a command; the parser sets its options. */
  protected ChangeCommand() {}

  /**
   * Sends the change and prints what became of it.
   *
   * @throws AdminRequestException if the VM cannot be reached or does not allow it
   */
  final ExitCode change(HttpMethod method, String path, byte[] body) throws AdminRequestException {
    AdminClient client = client();
    Optional<AdminReply> reply = client.change(method, path + "?operation=" + operation, body);
    if (reply.isEmpty()) {
      return unknown();
    }
    return switch (reply.get().status()) {
      case 200 -> {
        System.out.println("accepted at version " + reply.get().json().path("version").asLong());
        yield ExitCode.OK;
      }
      case 202 -> unknown();
      case 409, 422 -> {
        System.err.println(client.refused(reply.get()).getMessage());
        yield ExitCode.REFUSED;
      }
      default -> throw client.refused(reply.get());
    };
  }

  private ExitCode unknown() {
    System.err.println(
        "The outcome is not known: run the same command again with --operation " + operation + ".");
    return ExitCode.UNKNOWN;
  }
}
