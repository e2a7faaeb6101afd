package org.radishpost.soak;

import java.io.File;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.ArrayList;
import java.util.List;
import java.util.OptionalInt;
import java.util.concurrent.TimeUnit;
import org.radishpost.lib.Endpoint;
import org.radishpost.pgm.Main;
import org.radishpost.platform.WireNames;

/**
 * An entry that runs in a separate process, which the soak starts, signals and kills by its process
 * id.
 */
final class EntryProcess {
  /** The JVM flags of deploy/system.toml that do not refer to build output. */
  private static final List<String> FLAGS =
      List.of(
          "-Xmx128m",
          "-Xms24m",
          "-Xss256k",
          "-XX:+UseSerialGC",
          "-XX:TieredStopAtLevel=1",
          "-XX:-UsePerfData",
          "--sun-misc-unsafe-memory-access=allow",
          "--enable-native-access=ALL-UNNAMED",
          "-Dreactor.netty.native=false");

  private final String name;
  private final Path directory;
  private final Endpoint frontAddress;
  private Process process;
  private int startCount;
  private boolean paused;
  private boolean stopping;
  private long lastSignalNanos = System.nanoTime();

  EntryProcess(String name, Path directory, Endpoint frontAddress) {
    this.name = name;
    this.directory = directory;
    this.frontAddress = frontAddress;
  }

  /** A signal that can be sent to the process. */
  enum Signal {
    TERM,
    KILL,
    STOP,
    CONT,
    HUP
  }

  String name() {
    return name;
  }

  Endpoint frontAddress() {
    return frontAddress;
  }

  Endpoint readinessAddress() {
    return new Endpoint(frontAddress.ip(), frontAddress.port() + 1);
  }

  Endpoint controlAddress() {
    return new Endpoint(frontAddress.ip(), frontAddress.port() + 2);
  }

  Endpoint metricsAddress() {
    return new Endpoint(frontAddress.ip(), frontAddress.port() + 3);
  }

  Path settingsFile() {
    return directory.resolve(name + ".json");
  }

  /** Returns the log file of the current process. */
  Path logFile() {
    return directory.resolve(name + "-" + startCount + ".log");
  }

  synchronized void start() throws IOException {
    startCount++;
    List<String> command = new ArrayList<>();
    command.add(ProcessHandle.current().info().command().orElseThrow());
    command.addAll(FLAGS);
    command.addAll(List.of("-cp", System.getProperty("java.class.path"), Main.class.getName()));
    command.addAll(List.of("entry", "--metrics-port", String.valueOf(metricsAddress().port())));
    ProcessBuilder builder = new ProcessBuilder(command);
    File log = logFile().toFile();
    builder.redirectErrorStream(true).redirectOutput(log);
    builder.environment().put(WireNames.SETTINGS_VARIABLE, settingsFile().toString());
    process = builder.start();
    stopping = false;
    lastSignalNanos = System.nanoTime();
  }

  /** Returns whether the soak paused, stopped or started the process at or after a time. */
  synchronized boolean wasSignalledSince(long nanos) {
    return paused || stopping || lastSignalNanos - nanos >= 0;
  }

  synchronized boolean isAlive() {
    return process != null && process.isAlive();
  }

  /** Sends a signal if the process is running. */
  synchronized void signal(Signal signal) throws IOException, InterruptedException {
    if (isAlive()) {
      recordSignal(signal);
      new ProcessBuilder("kill", "-" + signal, String.valueOf(process.pid())).start().waitFor();
    }
  }

  private void recordSignal(Signal signal) {
    if (signal == Signal.HUP) {
      return; // A process that reloads its settings goes on.
    }
    paused = signal == Signal.STOP || paused && signal == Signal.TERM;
    stopping |= signal == Signal.TERM || signal == Signal.KILL;
    lastSignalNanos = System.nanoTime();
  }

  /**
   * Waits for the process to exit. Returns its exit code, or an empty {@code OptionalInt} on
   * timeout.
   */
  OptionalInt awaitExit(long timeoutMillis) throws InterruptedException {
    if (!process.waitFor(timeoutMillis, TimeUnit.MILLISECONDS)) {
      return OptionalInt.empty();
    }
    return OptionalInt.of(process.exitValue());
  }

  /** Kills the process and waits for its exit. */
  synchronized void kill() throws InterruptedException {
    if (isAlive()) {
      recordSignal(Signal.KILL);
      process.destroyForcibly().waitFor();
    }
  }

  void writeSettings(String settings) throws IOException {
    Path newFile = directory.resolve(name + ".new");
    Files.writeString(newFile, settings);
    Files.move(newFile, settingsFile(), StandardCopyOption.ATOMIC_MOVE);
  }
}
