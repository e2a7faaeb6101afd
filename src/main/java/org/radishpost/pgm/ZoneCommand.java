package org.radishpost.pgm;

import com.github.rvesse.airline.annotations.Command;
import org.radishpost.config.Scope;

/** Takes an availability zone out of service or back in. */
@Command(
    name = "zone",
    description = "Take an availability zone out of service or back in: zone out|in NAME.")
public final class ZoneCommand extends ServiceCommand {
  /** Creates the command; called by the command-line parser. */
  public ZoneCommand() {
    super(Scope.Kind.ZONE);
  }
}
