package org.radishpost.pgm;

import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;
import com.github.rvesse.airline.annotations.restrictions.Required;
import java.io.IOException;
import java.nio.file.Path;
import org.radishpost.bench.BenchPlot;
import org.radishpost.bench.BenchReport;
import org.radishpost.bench.LoadDriver;
import org.radishpost.bench.LoadPlan;
import org.radishpost.bench.LoadResult;
import org.radishpost.errors.RadishpostException;
import org.radishpost.errors.StartException;
import org.radishpost.node.RuntimeClock;
import reactor.core.scheduler.Schedulers;

/** Drives a load at processes that run already, and reports what came of it. */
@Command(
    name = "bench",
    description =
        "Drive the load of a plan at running processes, apply its events, and write a table, JSON"
            + " and a plot.")
public final class BenchCommand extends PgmCommand {
  @Option(
      name = {"--plan"},
      description = "The plan (JSON).")
  @Required
  private String planFile;

  @Option(
      name = {"--out"},
      description = "The folder that result.txt, result.json and result.svg go to.")
  @Required
  private String outFolder;

  /** Creates the command. */
  public BenchCommand() {}

  @Override
  protected ExitCode run() throws RadishpostException {
    System.setProperty("radishpost.log", "text");
    LoadPlan plan = LoadPlan.read(Files.read(Path.of(planFile)));
    LoadDriver driver =
        new LoadDriver(
            plan, new RuntimeClock(), Schedulers.newSingle("senders", true), System.err::println);
    LoadResult result = driver.run().block();
    driver.close().block();
    System.out.print(BenchReport.text(result));
    write(result, Path.of(outFolder));
    return ExitCode.OK;
  }

  private static void write(LoadResult result, Path folder) throws StartException {
    try {
      java.nio.file.Files.createDirectories(folder);
      java.nio.file.Files.writeString(folder.resolve("result.txt"), BenchReport.text(result));
      java.nio.file.Files.write(folder.resolve("result.json"), BenchReport.json(result));
      java.nio.file.Files.writeString(
          folder.resolve("result.svg"), BenchPlot.svg(result, folder.getFileName().toString()));
    } catch (IOException e) {
      throw new StartException(
          "The results cannot be written to " + folder + ": check the path and its permissions.",
          e);
    }
  }
}
