package org.radishpost.pgm;

import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;
import com.github.rvesse.airline.annotations.restrictions.Required;
import java.io.IOException;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.radishpost.bench.BenchPlot;
import org.radishpost.bench.BenchReport;
import org.radishpost.bench.DeploymentLoad;
import org.radishpost.bench.LoadDriver;
import org.radishpost.bench.LoadPlan;
import org.radishpost.bench.LoadResult;
import org.radishpost.bench.ScenarioEvents;
import org.radishpost.errors.RadishpostException;
import org.radishpost.errors.SettingsException;
import org.radishpost.errors.StartException;
import org.radishpost.manifest.Manifest;
import org.radishpost.manifest.ManifestCodec;
import org.radishpost.node.RuntimeClock;
import org.radishpost.settings.NodeSettings;
import org.radishpost.settings.NodeSettings.LogFormat;
import org.radishpost.settings.SettingsCodec;
import reactor.core.scheduler.Schedulers;

/** Generates load for running processes and reports the results. */
@Command(
    name = "bench",
    description =
        "Drive a load at running processes, apply its events, and write a table, JSON and a plot."
            + " The load comes from a plan, or from a manifest and the settings of the VMs.")
public final class BenchCommand extends CliCommand {
  @Option(
      name = {"--plan"},
      description = "The plan (JSON).")
  private String planFile = "";

  @Option(
      name = {"--manifest"},
      description = "The manifest whose services are loaded, in place of a plan.")
  private String manifestFile = "";

  @Option(
      name = {"--settings"},
      description = "A settings file of a VM that takes calls; once for each VM.")
  private List<String> settingsFiles = new ArrayList<>();

  @Option(
      name = {"--percent"},
      description = "The load in percent of the targets' capacity.")
  private int percent = 50;

  @Option(
      name = {"--seconds"},
      description = "The measured time.")
  private int seconds = 20;

  @Option(
      name = {"--mean-millis"},
      description = "The mean service time of the targets.")
  private int meanMillis = 100;

  @Option(
      name = {"--seed"},
      description = "The seed of all random numbers.")
  private long seed = 20_261;

  @Option(
      name = {"--scenario"},
      description = "What happens meanwhile: steady, zone, slow, cold or log-outage.")
  private String scenario = "steady";

  @Option(
      name = {"--token"},
      description = "The token of an operator, for the scenario zone.")
  private String token = "";

  @Option(
      name = {"--out"},
      description = "The folder that result.txt, result.json and result.svg go to.")
  @Required
  private String outFolder;

  /** Creates the command; called by the command-line parser. */
  public BenchCommand() {}

  @Override
  protected ExitCode run() throws RadishpostException {
    LogConfig.setFormat(LogFormat.TEXT);
    LoadPlan plan =
        planFile.isEmpty() ? deploymentPlan() : LoadPlan.parse(InputFiles.read(Path.of(planFile)));
    LoadDriver driver =
        new LoadDriver(
            plan, new RuntimeClock(), Schedulers.newSingle("senders", true), System.err::println);
    LoadResult result = driver.run().block();
    driver.close().block();
    System.out.print(BenchReport.formatTable(result));
    writeResults(result, Path.of(outFolder));
    return ExitCode.OK;
  }

  private LoadPlan deploymentPlan() throws RadishpostException {
    if (manifestFile.isEmpty() || settingsFiles.isEmpty()) {
      throw new SettingsException("Give --plan, or --manifest and --settings for each VM.");
    }
    Manifest manifest = new ManifestCodec().decode(InputFiles.read(Path.of(manifestFile)));
    List<NodeSettings> vms = new ArrayList<>();
    for (String file : settingsFiles) {
      vms.add(new SettingsCodec().decode(InputFiles.read(Path.of(file))));
    }
    List<DeploymentLoad.Entry> entries =
        vms.stream().map(vm -> new DeploymentLoad.Entry(vm.edge(), vm.place())).toList();
    ScenarioEvents events = new ScenarioEvents(manifest, vms.getLast(), token, seconds);
    return new DeploymentLoad(manifest, entries, Duration.ofMillis(meanMillis))
        .createPlan(percent, seconds, seed, events.forScenario(scenario), true);
  }

  private static void writeResults(LoadResult result, Path folder) throws StartException {
    try {
      java.nio.file.Files.createDirectories(folder);
      java.nio.file.Files.writeString(
          folder.resolve("result.txt"), BenchReport.formatTable(result));
      java.nio.file.Files.write(folder.resolve("result.json"), BenchReport.toJson(result));
      java.nio.file.Files.writeString(
          folder.resolve("result.svg"), BenchPlot.toSvg(result, folder.getFileName().toString()));
    } catch (IOException e) {
      throw new StartException(
          "The results cannot be written to " + folder + ": check the path and its permissions.",
          e);
    }
  }
}
