package review3;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.concurrent.ThreadLocalRandom;
import java.util.stream.Stream;

/** A small deployment on loopback: a store, upstreams and entry processes. */
final class Lab implements AutoCloseable {
  static final String ZONES =
      "{\"kozep-a\":\"kozep\",\"kozep-b\":\"kozep\",\"kelet-a\":\"kelet\",\"kelet-b\":\"kelet\"}";

  final Record record;
  final LogStore store;
  final List<Entry> entries = new ArrayList<>();
  final List<Upstream> upstreams = new ArrayList<>();
  private final Path folder;
  private final int subnet;
  private int lastHost = 1;

  Lab(Path caseFolder) throws IOException {
    folder = Files.createTempDirectory("radishpost-review");
    record = new Record(caseFolder.resolve("record.txt"));
    subnet = freeSubnet();
    store = new LogStore(nextIp());
    Runtime.getRuntime().addShutdownHook(new Thread(this::close));
  }

  private static int freeSubnet() throws IOException {
    for (int i = 0; i < 50; i++) {
      int candidate = ThreadLocalRandom.current().nextInt(1, 250);
      if (Entry.metricsPortFree("127.77." + candidate + ".2")) {
        return candidate;
      }
    }
    throw new IOException("no free loopback addresses");
  }

  synchronized String nextIp() {
    lastHost++;
    return "127.77." + subnet + "." + lastHost;
  }

  Entry addEntry(String name, String zone) throws IOException {
    String region = zone.substring(0, zone.indexOf('-'));
    Entry entry = new Entry(folder, name, nextIp(), zone, region, ZONES, store.address());
    entries.add(entry);
    return entry;
  }

  /** Starts all entries with the first ones as relays, and waits until they are ready. */
  void startEntries(int relays) throws IOException, InterruptedException {
    List<String> seeds = entries.stream().limit(relays).map(Entry::controlAddress).toList();
    for (Entry entry : entries) {
      entry.start(seeds);
    }
    for (Entry entry : entries) {
      if (!entry.awaitReady(Duration.ofSeconds(30))) {
        throw new IOException(entry.name + " is not ready");
      }
    }
    record.line("ready    %d entries", entries.size());
  }

  synchronized Upstream add(Upstream upstream) {
    upstreams.add(upstream);
    return upstream;
  }

  void config(String json) {
    store.put("keyed.op", "config", json);
    record.line("config   %s", json);
  }

  static String service(String name) {
    return "\"" + name + "\":{\"health-path\":\"/healthz\",\"max-conns\":240,\"protocol\":\"h1\","
        + "\"tls\":false,\"warmup-s\":3.0,\"warmup-per-s\":5.0}";
  }

  static String route(String name, String prefix, String kind, String service, double timeout) {
    return "\"" + name + "\":{\"host\":\"demo.example\",\"path-prefix\":\"" + prefix
        + "\",\"kind\":\"" + kind + "\",\"timeout-s\":" + timeout
        + ",\"target-latency-s\":0.3,\"priority\":1,\"service\":\"" + service
        + "\",\"max-attempts\":2,\"allowed-regions\":[]}";
  }

  static String state(int version, String routes, String services) {
    return "{\"version\":\"r" + version + "\",\"routes\":{" + routes + "},\"services\":{" + services
        + "},\"limits\":{\"max-header-bytes\":16384,\"max-body-bytes\":67108864,"
        + "\"header-timeout-s\":3,\"idle-timeout-s\":15}}";
  }

  /** Returns the log of an entry. */
  String log(Entry entry) throws IOException {
    return Files.readString(folder.resolve(entry.name + ".log"));
  }

  @Override
  public synchronized void close() {
    entries.forEach(Entry::close);
    try {
      for (Entry entry : entries) {
        if (entry.process != null) {
          entry.process.waitFor();
        }
      }
      if (System.getenv("KEEP") != null) {
        System.err.println(folder);
        return;
      }
      if (!Files.exists(folder)) {
        return;
      }
      try (Stream<Path> files = Files.walk(folder)) {
        for (Path path : files.sorted(Comparator.reverseOrder()).toList()) {
          Files.delete(path);
        }
      }
    } catch (IOException | InterruptedException e) {
      System.err.println("The temporary folder was not removed: " + e);
    }
  }
}
