package org.radishpost.pgm;

import com.github.rvesse.airline.annotations.Arguments;
import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;
import com.github.rvesse.airline.annotations.restrictions.Required;
import org.radishpost.bench.ClaimModel;
import org.radishpost.bench.ConfigModel;
import org.radishpost.bench.MembershipModel;
import org.radishpost.bench.PoolModel;
import org.radishpost.errors.RadishpostException;
import org.radishpost.errors.SettingsException;

/** Runs the performance models, whose results the decision records quote. */
@Command(
    name = "model",
    description = "Run a calculation: pool, members, configuration or claims; prints a table.")
public final class ModelCommand extends CliCommand {
  @Arguments(title = "MODEL", description = "pool, members, configuration or claims.")
  @Required
  private String model;

  @Option(
      name = {"--seed"},
      title = "N",
      description = "The seed of the pool and claims models.")
  private long seed = 1;

  @Option(
      name = {"--runs"},
      title = "N",
      description = "The runs of the pool model and the seeds of the members model.")
  private int runs = 5;

  /** Creates the command; called by the command-line parser. */
  public ModelCommand() {}

  @Override
  protected ExitCode run() throws RadishpostException {
    switch (model) {
      case "pool" -> PoolModel.run(seed, runs, System.out);
      case "members" -> MembershipModel.main(new String[] {String.valueOf(runs)});
      case "configuration" -> ConfigModel.main(new String[0]);
      case "claims" -> ClaimModel.run(seed, System.out);
      default ->
          throw new SettingsException(
              "Unknown model: specify pool, members, configuration or claims.");
    }
    return ExitCode.OK;
  }
}
