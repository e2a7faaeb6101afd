package org.radishpost.pgm;

import com.github.rvesse.airline.annotations.Command;
import org.radishpost.config.Scope;

/** Takes a region out of service or back in. */
@Command(
    name = "region",
    description = "Take a region out of service or back in: region out|in NAME.")
public final class RegionCommand extends ServiceCommand {
  /** Creates the command; called by the command-line parser. */
  public RegionCommand() {
    super(Scope.Kind.REGION);
  }
}
