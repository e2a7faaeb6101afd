package org.radishpost.pgm;

import com.github.rvesse.airline.annotations.Command;
import io.netty.buffer.Unpooled;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.radishpost.errors.RadishpostException;
import org.radishpost.lib.Endpoint;
import org.radishpost.lib.Place;
import org.radishpost.lib.RegionName;
import org.radishpost.lib.VmId;
import org.radishpost.lib.ZoneName;
import org.radishpost.node.EntryNode;
import org.radishpost.node.RuntimeClock;
import org.radishpost.platform.PlatformProtocol;
import org.radishpost.platform.WireNames;
import org.radishpost.settings.EntryBounds;
import org.radishpost.settings.EntrySettings;
import org.radishpost.standin.KeyedStore;
import org.radishpost.standin.KeyedStoreServer;
import org.radishpost.standin.PlatformTargetServer;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;
import reactor.netty.http.client.HttpClient;
import reactor.netty.resources.LoopResources;

/**
 * Runs an entry with stand-ins and sends it some requests. The build runs this command to record
 * the classes that an entry loads.
 */
@Command(
    name = "train",
    hidden = true,
    description = "Serve some requests among stand-ins and end; used by the build.")
public final class TrainCommand extends CliCommand {
  private static final Endpoint ANY_PORT = new Endpoint("127.0.0.1", 0);
  private static final Duration TIMEOUT = Duration.ofSeconds(20);
  private static final Duration POLL_INTERVAL = Duration.ofMillis(50);
  private static final int REQUEST_COUNT = 40;
  private static final int OK = 200;
  private static final String CONFIGURATION =
      """
      {"version":"r1","routes":{"reads":{"host":"train.example","path-prefix":"/reads/",\
      "kind":"idempotent","timeout-s":1,"target-latency-s":0.25,"priority":1,"service":"trained",\
      "max-attempts":2,"allowed-regions":[]},"writes":{"host":"train.example",\
      "path-prefix":"/writes/","kind":"upload","timeout-s":1,"target-latency-s":0.25,"priority":1,\
      "traffic-split":[{"service":"trained","weight":1}],"max-attempts":2,"allowed-regions":["r"]}},\
      "services":{"trained":{"health-path":"/healthz","max-conns":100,"warmup-s":1.0,\
      "warmup-per-s":5.0}},"limits":{"max-header-bytes":16384,"max-body-bytes":1000000}}
      """;

  /** Creates the command; called by the command-line parser. */
  public TrainCommand() {}

  @Override
  protected ExitCode run() throws RadishpostException {
    LoopResources loops = LoopResources.create("train", 1, true);
    KeyedStore store = new KeyedStore();
    Endpoint target = new PlatformTargetServer("t-1", ANY_PORT, loops).start();
    store.put(WireNames.OPERATOR_TOPIC, WireNames.CONFIGURATION_KEY, CONFIGURATION);
    store.put(WireNames.TARGET_TOPIC, "t-1", targetEntry(target));
    Endpoint storeAddress = new KeyedStoreServer(store, ANY_PORT, loops).start();
    EntryNode relay = startNode("relay", List.of(), storeAddress);
    EntryNode node = startNode("train", List.of(relay.relayAddress().orElseThrow()), storeAddress);
    Flux.interval(POLL_INTERVAL).takeUntil(tick -> node.isFollowingRelay()).blockLast(TIMEOUT);
    HttpClient readiness = client(loops, node.readinessAddress());
    readiness
        .get()
        .uri(PlatformProtocol.READY_PATH)
        .responseSingle((response, body) -> Mono.just(response.status().code()))
        .filter(status -> status == OK)
        .repeatWhenEmpty(retries -> retries.delayElements(POLL_INTERVAL))
        .block(TIMEOUT);
    sendRequests(client(loops, node.frontAddress()));
    node.stop().block(TIMEOUT);
    relay.stop().block(TIMEOUT);
    return ExitCode.OK;
  }

  private static EntryNode startNode(String name, List<Endpoint> relays, Endpoint store)
      throws RadishpostException {
    EntryNode node = new EntryNode(settings(name, relays), ANY_PORT, store, new RuntimeClock());
    node.start();
    return node;
  }

  private static void sendRequests(HttpClient client) {
    Flux.range(0, REQUEST_COUNT)
        .concatMap(number -> number % 2 == 0 ? sendRead(client, number) : sendWrite(client, number))
        .then()
        .block(TIMEOUT);
  }

  private static Mono<Integer> sendRead(HttpClient client, int number) {
    return withHeaders(client, number)
        .get()
        .uri("/reads/a")
        .responseSingle((response, body) -> body.then(Mono.just(response.status().code())));
  }

  private static Mono<Integer> sendWrite(HttpClient client, int number) {
    byte[] body = "something to write".getBytes(StandardCharsets.UTF_8);
    return withHeaders(client, number)
        .post()
        .uri("/writes/a")
        .send(Mono.fromSupplier(() -> Unpooled.wrappedBuffer(body)))
        .responseSingle((response, bytes) -> bytes.then(Mono.just(response.status().code())));
  }

  private static HttpClient withHeaders(HttpClient client, int number) {
    return client.headers(
        headers ->
            headers
                .set("host", "train.example")
                .set(WireNames.REQUEST_ID, "train-" + number)
                .set(WireNames.DEADLINE_MILLIS, "2000"));
  }

  private static HttpClient client(LoopResources loops, Endpoint address) {
    return HttpClient.newConnection().runOn(loops).host(address.ip()).port(address.port());
  }

  private static String targetEntry(Endpoint address) {
    return "{\"service\":\"trained\",\"address\":\""
        + address
        + "\",\"zone\":\"z\",\"concurrency\":2,\"state\":\"ready\",\"sequence\":1}";
  }

  private static EntrySettings settings(String name, List<Endpoint> relays) {
    return new EntrySettings(
        new VmId(name),
        Place.of("r", "z"),
        ANY_PORT,
        ANY_PORT,
        Optional.of(ANY_PORT),
        relays,
        Optional.empty(),
        Map.of(new ZoneName("z"), new RegionName("r")),
        new EntryBounds(0.2, 10, Duration.ofSeconds(4), Duration.ofSeconds(1)));
  }
}
