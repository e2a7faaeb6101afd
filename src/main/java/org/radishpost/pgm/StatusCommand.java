package org.radishpost.pgm;

import com.github.rvesse.airline.annotations.Command;
import org.radishpost.errors.RadishpostException;

/** Prints the status of a VM. */
@Command(name = "status", description = "Show a VM's state, members, pools and targets as JSON.")
public final class StatusCommand extends AdminCommand {
  /** Creates the command; called by the command-line parser. */
  public StatusCommand() {}

  @Override
  protected ExitCode run() throws RadishpostException {
    System.out.println(newClient().get("/v1/status").toPrettyString());
    return ExitCode.OK;
  }
}
