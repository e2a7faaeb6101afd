package org.radishpost.store.http;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import org.radishpost.errors.AppendUnknownException;
import org.radishpost.errors.LogUnavailableException;
import org.radishpost.errors.VmListUnavailableException;
import org.radishpost.lib.Endpoint;
import org.radishpost.lib.Place;
import org.radishpost.lib.VmId;
import org.radishpost.standin.LogFaults;
import org.radishpost.standin.LogServer;
import org.radishpost.standin.MemoryLog;
import org.radishpost.standin.MemoryVmList;
import org.radishpost.store.LogPage;
import org.radishpost.store.LogRecord;
import org.radishpost.store.VmEntry;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;
import reactor.core.Exceptions;
import reactor.core.publisher.Mono;
import reactor.core.scheduler.Schedulers;
import reactor.netty.http.client.HttpClient;
import reactor.netty.resources.ConnectionProvider;

/** Tests the HTTP clients against the stand-in, and the exception that each fault causes. */
public class HttpPlatformTest {
  private static final Duration LIMIT = Duration.ofMillis(500);
  private static final byte[] BYTES = "a record".getBytes(StandardCharsets.UTF_8);

  private MemoryLog memory;
  private MemoryVmList vms;
  private LogServer server;
  private Endpoint address;
  private ConnectionProvider connections;
  private HttpPlatformLog log;

  /** Starts a platform server without records and VMs. */
  @BeforeMethod
  public void start() throws Exception {
    memory = new MemoryLog(Schedulers.parallel(), Duration.ofHours(1));
    vms = new MemoryVmList(Schedulers.parallel());
    server = new LogServer(new Endpoint("127.0.0.1", 0), memory, vms);
    address = server.start();
    connections = ConnectionProvider.create("test", 10);
    log = new HttpPlatformLog(connections, address, LIMIT);
  }

  /** Closes the connections and stops the server. */
  @AfterMethod(alwaysRun = true)
  public void stop() {
    connections.dispose();
    server.stop();
  }

  @Test
  public void appendedRecordIsReadBackUnchanged() {
    LogRecord appended = log.append("a stream/1", BYTES).block();
    LogPage page = log.read("a stream/1", 1, 10, Duration.ZERO).block();

    assertEquals(appended.offset(), 1);
    assertEquals(page.records().getFirst().payload(), BYTES);
    assertEquals(page.records().getFirst().timeMillis(), appended.timeMillis());
    assertEquals(page.nextOffset(), 2);
  }

  @Test
  public void readWaitsForTheRecord() {
    Mono<LogPage> reading = log.read("stream", 1, 10, Duration.ofSeconds(20)).cache();
    reading.subscribe();
    log.append("stream", BYTES).block();

    assertEquals(reading.block().records().size(), 1);
  }

  @Test
  public void lostResponseMakesAppendUnknown() {
    memory.setFaults(new LogFaults(false, Duration.ZERO, 1, 0));

    assertFailsWith(AppendUnknownException.class, log.append("stream", BYTES));
    assertEquals(log.read("stream", 1, 10, Duration.ZERO).block().records().size(), 1);
  }

  @Test
  public void missingResponseMakesAppendUnknown() {
    put("/faults", "{\"silent\":true}");

    assertFailsWith(AppendUnknownException.class, log.append("stream", BYTES));
    assertFailsWith(LogUnavailableException.class, log.read("stream", 1, 1, Duration.ZERO));
  }

  @Test
  public void rejectedAppendIsNotStored() {
    put("/faults", "{\"down\":true}");

    assertFailsWith(LogUnavailableException.class, log.append("stream", BYTES));
    assertEquals(memory.appendCount(), 0);
  }

  @Test
  public void refusedConnectionMakesLogUnavailable() {
    server.stop();

    assertFailsWith(LogUnavailableException.class, log.append("stream", BYTES));
  }

  @Test
  public void vmListLagsAndBecomesUnavailable() {
    HttpVmList list = new HttpVmList(connections, address, LIMIT);
    VmEntry vm =
        new VmEntry(
            new VmId("vm-1"),
            Place.of("kozep", "kozep-a"),
            Endpoint.parse("127.0.0.1:1"),
            Endpoint.parse("127.0.0.1:2"),
            true);
    put("/vms/vm-1", new String(new LogJson().encodeVm(vm), StandardCharsets.UTF_8));
    assertEquals(list.read().block(), List.of(vm));

    put("/faults", "{\"vmListLagMillis\":600000}");
    assertEquals(list.read().block(), List.of());

    put("/faults", "{\"vmListDown\":true}");
    assertFailsWith(VmListUnavailableException.class, list.read());
  }

  private void put(String path, String body) {
    Integer status =
        HttpClient.create()
            .put()
            .uri("http://" + address + path)
            .send(reactor.netty.ByteBufFlux.fromString(Mono.just(body)))
            .responseSingle((response, content) -> Mono.just(response.status().code()))
            .block();
    assertEquals(status, Integer.valueOf(200));
  }

  private static void assertFailsWith(Class<? extends Exception> kind, Mono<?> call) {
    RuntimeException failure = null;
    try {
      call.block();
    } catch (RuntimeException e) {
      failure = e;
    }
    assertTrue(
        failure != null && kind.isInstance(Exceptions.unwrap(failure)), "failed with " + failure);
  }
}
