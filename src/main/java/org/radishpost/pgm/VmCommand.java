package org.radishpost.pgm;

import com.github.rvesse.airline.annotations.Command;
import org.radishpost.config.Scope;

/** Takes a VM of the system out of service or back in. */
@Command(
    name = "vm",
    description = "Take a VM of the system out of service or back in: vm out|in NAME.")
public final class VmCommand extends ServiceCommand {
  /** Creates the command; called by the command-line parser. */
  public VmCommand() {
    super(Scope.Kind.VM);
  }
}
