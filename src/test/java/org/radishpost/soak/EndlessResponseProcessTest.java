package org.radishpost.soak;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicBoolean;
import org.radishpost.http.EndlessResponse;
import org.radishpost.http.EndlessServer;
import org.radishpost.lib.Endpoint;
import org.radishpost.platform.WireNames;
import org.radishpost.standin.KeyedStore;
import org.radishpost.standin.KeyedStoreServer;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import reactor.netty.resources.LoopResources;

/**
 * Runs an entry with the heap of the deploy file, whose reads go to targets that send bytes without
 * end. Its memory ran out, and the writes of other callers to sound targets were lost.
 *
 * <p>{@code -Dendless.writes=500} makes it longer.
 */
public class EndlessResponseProcessTest {
  private static final String HOST = "endless.example";
  private static final String CONFIGURATION =
      """
      {"version":"r1","routes":{
      "reads":{"host":"%1$s","path-prefix":"/reads/","kind":"idempotent","timeout-s":30,
      "target-latency-s":1,"service":"reading","max-attempts":2},
      "writes":{"host":"%1$s","path-prefix":"/writes/","kind":"non_idempotent","timeout-s":30,
      "target-latency-s":1,"service":"writing","max-attempts":2}},
      "services":{"reading":{"health-path":"/healthz"},"writing":{"health-path":"/healthz"}},
      "limits":{"max-body-bytes":10000000}}
      """
          .formatted(HOST);

  private static final String SETTINGS =
      """
      {"node-name":"e","zone":"k-a","region":"k","zones":{"k-a":"k"},
      "listen":{"front":"%s","readiness":"%s","control":"%s"},"seeds":["%s"],
      "heartbeat-interval-s":1,
      "bounds":["grace-s=6","retry-budget-ratio=0.2","budget-slack=60"],
      "provider":{"address":"%s"}}
      """;

  private static final int FAULTY_TARGETS = 8;
  private static final int SOUND_TARGETS = 8;
  private static final int READERS = 40;
  private static final int WRITERS = 16;
  private static final int WRITES_PER_WRITER = Integer.getInteger("endless.writes", 8);
  private static final int DEADLINE_MILLIS = 30_000;
  private static final int FRONT_PORT = 21_000;
  private static final int OK = 200;

  private final Map<String, Integer> writeOutcomes = new ConcurrentHashMap<>();
  private final AtomicBoolean writing = new AtomicBoolean();

  /** Returns the responses that took memory or the thread. */
  @DataProvider
  public Object[][] responses() {
    return new Object[][] {
      {EndlessResponse.LARGE_CHUNKS},
      {EndlessResponse.SMALL_CHUNKS},
      {EndlessResponse.CLOSE_DELIMITED_BODY},
      {EndlessResponse.INTERIM_RESPONSES},
      {EndlessResponse.CONTINUE_RESPONSES},
      {EndlessResponse.TRAILER_FIELDS},
    };
  }

  @Test(dataProvider = "responses")
  public void writesToSoundTargetsAreNotLost(EndlessResponse endless) throws Exception {
    Path directory = Files.createDirectories(Path.of("target", "endless").toAbsolutePath());
    LoopResources loops = LoopResources.create("endless-store", 1, true);
    KeyedStore store = new KeyedStore();
    KeyedStoreServer storeServer = new KeyedStoreServer(store, new Endpoint("127.0.0.1", 0), loops);
    EntryProcess entry = new EntryProcess(endless.name(), directory, frontAddress());
    store.put(WireNames.OPERATOR_TOPIC, WireNames.CONFIGURATION_KEY, CONFIGURATION);
    entry.writeSettings(settings(entry, storeServer.start()));
    List<AutoCloseable> targets = registerTargets(store, endless);
    entry.start();
    try {
      awaitReady(entry);
      runCallers(entry);
      assertTrue(entry.isAlive());
      assertFalse(Files.readString(entry.logFile()).contains("OutOfMemoryError"));
      int unlost = writeOutcomes.getOrDefault("200", 0) + writeOutcomes.getOrDefault("503", 0);
      assertEquals(unlost, WRITERS * WRITES_PER_WRITER, writeOutcomes.toString());
    } finally {
      System.out.println(endless + ": outcomes of writes " + writeOutcomes);
      entry.kill();
      for (AutoCloseable target : targets) {
        target.close();
      }
      storeServer.stop().block();
      loops.dispose();
    }
  }

  /** Returns an address of this process, so that several tests can run at the same time. */
  private static Endpoint frontAddress() {
    long pid = ProcessHandle.current().pid();
    return new Endpoint("127.221." + pid / 200 % 200 + "." + (1 + pid % 200), FRONT_PORT);
  }

  private static List<AutoCloseable> registerTargets(KeyedStore store, EndlessResponse endless)
      throws IOException {
    List<AutoCloseable> targets = new ArrayList<>();
    for (int i = 0; i < FAULTY_TARGETS; i++) {
      EndlessServer target = new EndlessServer(endless, SoakTarget.HEALTH_PATH);
      register(store, "faulty-" + i, "reading", target.address());
      targets.add(target);
    }
    RequestTracker tracker = new RequestTracker();
    for (int i = 0; i < SOUND_TARGETS; i++) {
      SoakTarget target = new SoakTarget("sound-" + i, "writing", tracker, i);
      register(store, target.id(), "writing", target.address());
      targets.add(target);
    }
    return targets;
  }

  private static void register(KeyedStore store, String id, String service, Endpoint address) {
    store.put(
        WireNames.TARGET_TOPIC,
        id,
        """
        {"service":"%s","address":"%s","zone":"k-a","concurrency":4,"state":"ready"}\
        """
            .formatted(service, address));
  }

  private static String settings(EntryProcess entry, Endpoint storeAddress) {
    return SETTINGS.formatted(
        entry.frontAddress(),
        entry.readinessAddress(),
        entry.controlAddress(),
        entry.controlAddress(),
        storeAddress);
  }

  private static void awaitReady(EntryProcess entry) {
    while (status(entry.readinessAddress(), "GET", "/radishpost/ready", "ready") != OK) {
      Thread.onSpinWait();
    }
  }

  private void runCallers(EntryProcess entry) throws InterruptedException {
    writeOutcomes.clear();
    writing.set(true);
    List<Thread> readers = new ArrayList<>();
    List<Thread> writers = new ArrayList<>();
    for (int i = 0; i < READERS; i++) {
      String name = "read-" + i;
      readers.add(Thread.ofPlatform().start(() -> read(entry.frontAddress(), name)));
    }
    for (int i = 0; i < WRITERS; i++) {
      String name = "write-" + i;
      writers.add(Thread.ofPlatform().start(() -> write(entry.frontAddress(), name)));
    }
    for (Thread writer : writers) {
      writer.join();
    }
    writing.set(false);
    for (Thread reader : readers) {
      reader.join();
    }
  }

  private void read(Endpoint entry, String name) {
    for (int i = 0; writing.get(); i++) {
      status(entry, "GET", "/reads/x", name + "-" + i);
    }
  }

  private void write(Endpoint entry, String name) {
    for (int i = 0; i < WRITES_PER_WRITER; i++) {
      int status = status(entry, "POST", "/writes/x", name + "-" + i);
      writeOutcomes.merge(String.valueOf(status), 1, Integer::sum);
    }
  }

  /** Sends a request on a connection of its own; returns 0 if no complete response comes back. */
  private static int status(Endpoint address, String method, String path, String id) {
    try (Socket socket = new Socket(address.ip(), address.port())) {
      socket.setTcpNoDelay(true);
      socket.setSoTimeout(2 * DEADLINE_MILLIS);
      Map<String, String> headers = new LinkedHashMap<>();
      headers.put("Host", HOST);
      headers.put(WireNames.REQUEST_ID, id);
      headers.put(WireNames.DEADLINE_MILLIS, String.valueOf(DEADLINE_MILLIS));
      byte[] body = method.equals("POST") ? id.getBytes() : new byte[0];
      socket
          .getOutputStream()
          .write(HttpCodec.encode(method + " " + path + " HTTP/1.1", headers, body));
      Optional<HttpCodec.Message> response = HttpCodec.read(socket.getInputStream());
      return response.map(HttpCodec.Message::status).orElse(0);
    } catch (IOException e) {
      return 0;
    }
  }
}
