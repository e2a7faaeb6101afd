package review;

import java.io.File;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.List;
import java.util.Map;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** An entry, started with the command of the deploy file on a loopback address of its own. */
final class EntryProcess {
  private static final Pattern RUN_LINE = Pattern.compile("(?m)^run = \"(.*)\"$");
  private static final List<String> INHERITED = List.of("PATH", "HOME", "JAVA_HOME", "LANG");
  private static final int FRONT_PORT = 21_000;
  private static final int TIMEOUT_MILLIS = 1_000;

  private final String name;
  private final String ip;
  private final Path directory;
  private Process process;

  EntryProcess(String name, String ip, Path directory) {
    this.name = name;
    this.ip = ip;
    this.directory = directory;
  }

  String name() {
    return name;
  }

  String front() {
    return ip + ":" + FRONT_PORT;
  }

  String readiness() {
    return ip + ":" + (FRONT_PORT + 1);
  }

  String control() {
    return ip + ":" + (FRONT_PORT + 2);
  }

  /** Replaces the settings file as a whole. */
  void writeSettings(String settings) throws IOException {
    Path newFile = directory.resolve(name + ".new");
    Files.writeString(newFile, settings);
    Files.move(newFile, settingsFile(), StandardCopyOption.ATOMIC_MOVE);
  }

  private Path settingsFile() {
    return directory.resolve(name + ".json");
  }

  /** Starts the process in the root of the repository. */
  void start() throws IOException {
    Matcher run = RUN_LINE.matcher(Files.readString(Path.of("deploy/system.toml")));
    if (!run.find()) {
      throw new IOException("deploy/system.toml has no run line");
    }
    ProcessBuilder builder = new ProcessBuilder(run.group(1).split(" "));
    Map<String, String> environment = builder.environment();
    environment.keySet().retainAll(INHERITED);
    environment.put("RADISHPOST_CONFIG", settingsFile().toString());
    File log = directory.resolve(name + ".log").toFile();
    process = builder.redirectErrorStream(true).redirectOutput(log).start();
  }

  boolean isAlive() {
    return process != null && process.isAlive();
  }

  /** Asks the entry whether it is ready. */
  boolean isReady() {
    try {
      return Client.send(readiness(), "GET", "/radishpost/ready", "platform", "", new byte[0])
              .status()
          == 200;
    } catch (IOException e) {
      return false; // It does not listen yet.
    }
  }

  void kill() {
    if (process != null) {
      process.destroyForcibly();
    }
  }

  /** Opens a connection to an address of the form {@code ip:port}. */
  static Socket connect(String address) throws IOException {
    int colon = address.indexOf(':');
    Socket socket = new Socket();
    socket.connect(
        new InetSocketAddress(
            address.substring(0, colon), Integer.parseInt(address.substring(colon + 1))),
        TIMEOUT_MILLIS);
    return socket;
  }
}
