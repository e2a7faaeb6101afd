package org.radishpost.store.http;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.json.JsonMapper;
import java.io.IOException;
import java.util.List;
import org.radishpost.lib.Endpoint;
import org.radishpost.lib.Place;
import org.radishpost.lib.VmId;
import org.radishpost.store.LogPage;
import org.radishpost.store.LogRecord;
import org.radishpost.store.VmEntry;

/**
 * The JSON forms of the platform's HTTP binding; thread-safe.
 *
 * <p>Payloads are base64 texts, times are milliseconds, and addresses have the form {@code
 * ip:port}.
 */
public final class LogJson {
  private final ObjectMapper mapper =
      JsonMapper.builder().disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES).build();

  /** Returns the JSON form of a page. */
  public byte[] encodePage(LogPage page) {
    return encode(page);
  }

  /**
   * Reads a page.
   *
   * @throws IOException if the bytes have another form
   */
  public LogPage decodePage(byte[] json) throws IOException {
    return mapper.readValue(json, LogPage.class);
  }

  /** Returns the JSON form of a payload that is to be appended. */
  public byte[] encodePayload(byte[] payload) {
    return encode(new Payload(payload));
  }

  /**
   * Reads a payload that is to be appended.
   *
   * @throws IOException if the bytes have another form
   */
  public byte[] decodePayload(byte[] json) throws IOException {
    byte[] payload = mapper.readValue(json, Payload.class).payload();
    if (payload == null) {
      throw new IOException("The field 'payload' is missing: send the record's bytes in base64.");
    }
    return payload;
  }

  /** Returns the JSON form of the place that an append got. */
  public byte[] encodeAppended(LogRecord appended) {
    return encode(new Appended(appended.offset(), appended.timeMillis()));
  }

  /**
   * Reads the place that an append got.
   *
   * @param json the bytes
   * @param payload the record's own bytes
   * @throws IOException if the bytes have another form
   */
  public LogRecord decodeAppended(byte[] json, byte[] payload) throws IOException {
    Appended appended = mapper.readValue(json, Appended.class);
    if (appended.offset() < 1) {
      throw new IOException("The answer to an append bears no offset.");
    }
    return new LogRecord(appended.offset(), appended.timeMillis(), payload);
  }

  /** Returns the JSON form of the list of VMs. */
  public byte[] encodeVms(List<VmEntry> vms) {
    return encode(new Vms(vms.stream().map(Vm::of).toList()));
  }

  /**
   * Reads the list of VMs.
   *
   * @throws IOException if the bytes have another form
   */
  public List<VmEntry> decodeVms(byte[] json) throws IOException {
    try {
      return mapper.readValue(json, Vms.class).vms().stream().map(Vm::entry).toList();
    } catch (IllegalArgumentException | NullPointerException e) {
      throw new IOException("The list of VMs has a bad entry.", e);
    }
  }

  /** Returns the JSON form of one VM. */
  public byte[] encodeVm(VmEntry vm) {
    return encode(Vm.of(vm));
  }

  /**
   * Reads one VM.
   *
   * @throws IOException if the bytes have another form
   */
  public VmEntry decodeVm(byte[] json) throws IOException {
    try {
      return mapper.readValue(json, Vm.class).entry();
    } catch (IllegalArgumentException | NullPointerException e) {
      throw new IOException("The VM has a bad or missing field.", e);
    }
  }

  private byte[] encode(Object value) {
    try {
      return mapper.writeValueAsBytes(value);
    } catch (JsonProcessingException e) {
      throw new IllegalStateException("every form of this binding has a JSON text", e);
    }
  }

  private record Payload(byte[] payload) {}

  private record Appended(long offset, long timeMillis) {}

  private record Vms(List<Vm> vms) {}

  private record Vm(
      String id, String region, String zone, String link, String hop, boolean leaving) {
    private static Vm of(VmEntry vm) {
      return new Vm(
          vm.id().value(),
          vm.place().region().value(),
          vm.place().zone().value(),
          vm.link().toString(),
          vm.hop().toString(),
          vm.leaving());
    }

    private VmEntry entry() {
      return new VmEntry(
          new VmId(id), Place.of(region, zone), Endpoint.parse(link), Endpoint.parse(hop), leaving);
    }
  }
}
