package org.radishpost.http;

import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.BooleanSupplier;
import org.radishpost.config.Configuration;
import org.radishpost.config.VersionedManifest;
import org.radishpost.errors.NotConnectedException;
import org.radishpost.errors.RadishpostException;
import org.radishpost.errors.StartException;
import org.radishpost.lib.Endpoint;
import org.radishpost.lib.GatewayName;
import org.radishpost.lib.RegionName;
import org.radishpost.lib.RequestKind;
import org.radishpost.lib.ServiceName;
import org.radishpost.lib.TenantName;
import org.radishpost.manifest.ColdStartSpec;
import org.radishpost.manifest.DuplicateGuard;
import org.radishpost.manifest.Manifest;
import org.radishpost.manifest.ProbeSpec;
import org.radishpost.manifest.RouteSpec;
import org.radishpost.manifest.ServiceSpec;
import org.radishpost.pool.HandBackReason;
import org.radishpost.routing.RouteMatch;
import org.radishpost.routing.RouteTable;
import org.radishpost.settings.NodeSettings.LimitSettings;
import reactor.core.publisher.Mono;
import reactor.netty.resources.LoopResources;
import reactor.test.scheduler.VirtualTimeScheduler;

/** An edge server in virtual time that sends every call directly to one target. */
final class EdgeFixture implements AutoCloseable {
  private static final int READ_TIMEOUT_MILLIS = 20_000;
  static final String LOOP_NAME = "edge-test";
  static final int MAX_BODY_BYTES = 1_000;
  static final int MAX_PREFIX_BYTES = 16;
  static final Endpoint ANY_PORT = new Endpoint("127.0.0.1", 0);
  static final LimitSettings LIMITS =
      new LimitSettings(2_048, MAX_PREFIX_BYTES, 3, 3, Duration.ofSeconds(10));
  private static final String GATEWAY = "piac-kőzép";

  final VirtualTimeScheduler clock = VirtualTimeScheduler.create();
  final LoopResources loops = LoopResources.create(LOOP_NAME, 2, true);
  final HttpSender sender =
      new HttpSender(
          SenderOptions.forNative("test", 8, Duration.ofSeconds(5), Duration.ofSeconds(1)),
          clock,
          loops);
  volatile boolean keepAlive = true;
  final List<Long> remainingMillis = new CopyOnWriteArrayList<>();
  private final Endpoint target;
  private final EdgeServer server;
  private final Endpoint address;

  EdgeFixture(Endpoint target) throws StartException {
    this(target, MAX_BODY_BYTES);
  }

  EdgeFixture(Endpoint target, long maxBodyBytes) throws StartException {
    this(target, maxBodyBytes, Optional.empty());
  }

  /** Creates an edge server whose calls are processed by the given handler. */
  EdgeFixture(CallHandler handler) throws StartException {
    this(ANY_PORT, MAX_BODY_BYTES, Optional.of(handler));
  }

  private EdgeFixture(Endpoint target, long maxBodyBytes, Optional<CallHandler> handler)
      throws StartException {
    this.target = target;
    server =
        new EdgeServer(
            ANY_PORT,
            EdgeProtocol.NATIVE,
            new RegionName("kelet"),
            LIMITS,
            clock,
            loops,
            () -> new FixedRouteTable(maxBodyBytes),
            new AlwaysReady(() -> keepAlive),
            handler.orElse(this::handle),
            new AtomicLong());
    address = server.start();
  }

  Socket connect() throws IOException {
    Socket socket = new Socket(address.ip(), address.port());
    socket.setSoTimeout(READ_TIMEOUT_MILLIS);
    return socket;
  }

  /** Sends the text and returns all bytes received until the connection closes. */
  String exchange(String text) throws IOException {
    try (Socket socket = connect()) {
      socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
      return readToEnd(socket);
    }
  }

  /** Sends a request that closes the connection and returns the response. */
  String call(String method) throws IOException {
    return exchange(method + " /a HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n");
  }

  /**
   * Returns all bytes received until the connection closes, followed by {@code <reset>} if it was
   * reset or the read timed out.
   */
  static String readToEnd(Socket socket) throws IOException {
    StringBuilder all = new StringBuilder();
    try {
      for (int next = socket.getInputStream().read(); next >= 0; ) {
        all.append((char) next);
        next = socket.getInputStream().read();
      }
    } catch (IOException e) {
      all.append("<reset>");
    }
    return all.toString();
  }

  static String readHead(Socket socket) throws IOException {
    StringBuilder head = new StringBuilder();
    while (head.indexOf("\r\n\r\n") < 0) {
      head.append((char) socket.getInputStream().read());
    }
    return head.toString();
  }

  private Mono<Response> handle(Call call) {
    long remainingNanos = call.info().deadlineNanos() - clock.now(TimeUnit.NANOSECONDS);
    remainingMillis.add(TimeUnit.NANOSECONDS.toMillis(remainingNanos));
    call.body().allowRemainder();
    return sender
        .send(target, call.head(), call.body(), Duration.ofNanos(remainingNanos))
        .onErrorResume(RadishpostException.class, error -> Mono.just(Response.of(problem(error))));
  }

  private static Problem problem(RadishpostException error) {
    return error instanceof NotConnectedException
        ? Problems.handedBack(HandBackReason.NO_TARGET)
        : Problems.responseLost(502, error.getMessage());
  }

  static RouteMatch match(String path, long maxBodyBytes, Set<RegionName> regions) {
    ServiceName service = new ServiceName("s");
    RouteSpec route =
        new RouteSpec(
            "útvonal " + path,
            "",
            Set.of("GET"),
            path,
            service,
            RequestKind.READ,
            1,
            true,
            Duration.ofSeconds(30),
            maxBodyBytes,
            regions,
            DuplicateGuard.NONE);
    ServiceSpec spec =
        new ServiceSpec(
            service,
            List.of(),
            new ColdStartSpec(1, 1, Duration.ofSeconds(1)),
            new ProbeSpec("/load", Duration.ofMillis(6), Duration.ofSeconds(1)),
            10);
    Manifest manifest =
        new Manifest(
            new GatewayName(GATEWAY), new TenantName("t"), 0, List.of(spec), List.of(route));
    return new RouteMatch(new VersionedManifest(1, manifest), route, spec);
  }

  @Override
  public void close() {
    server.stop().block();
    sender.close().block();
    loops.disposeLater(Duration.ZERO, Duration.ofSeconds(1)).block();
  }

  /**
   * A route table with one route for every path; paths below /home are allowed only in another
   * region.
   *
   * @param maxBodyBytes the maximum body size
   */
  record FixedRouteTable(long maxBodyBytes) implements RouteTable {
    @Override
    public Configuration configuration() {
      throw new UnsupportedOperationException();
    }

    @Override
    public Optional<RouteMatch> find(String host, String method, String path) {
      return Optional.of(
          path.startsWith("/home")
              ? match("/home", maxBodyBytes, Set.of(new RegionName("nyugat")))
              : match("/", maxBodyBytes, Set.of()));
    }

    @Override
    public Optional<RouteMatch> byName(String gateway, String route) {
      return gateway.equals(GATEWAY) ? find("", "GET", "/") : Optional.empty();
    }
  }

  private record AlwaysReady(BooleanSupplier keepAlive) implements Readiness {
    @Override
    public boolean ready() {
      return true;
    }

    @Override
    public boolean servesRequests() {
      return true;
    }

    @Override
    public boolean allowsKeepAlive() {
      return keepAlive.getAsBoolean();
    }

    @Override
    public String notReadyReason() {
      return "";
    }
  }
}
