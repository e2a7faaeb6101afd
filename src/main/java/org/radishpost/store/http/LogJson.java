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
 * Converts the messages of the platform's HTTP API from and to JSON; thread-safe.
 *
 * <p>Payloads are base64 strings, times are in milliseconds, and addresses have the form {@code
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
   * Parses a page.
   *
   * @throws IOException if the bytes do not have this form
   */
  public LogPage decodePage(byte[] json) throws IOException {
    return mapper.readValue(json, LogPage.class);
  }

  /** Returns the JSON form of a payload to append. */
  public byte[] encodePayload(byte[] payload) {
    return encode(new Payload(payload));
  }

  /**
   * Parses a payload to append.
   *
   * @throws IOException if the bytes do not have this form
   */
  public byte[] decodePayload(byte[] json) throws IOException {
    byte[] payload = mapper.readValue(json, Payload.class).payload();
    if (payload == null) {
      throw new IOException(
          "The field 'payload' is missing: send the bytes of the record in base64.");
    }
    return payload;
  }

  /** Returns the JSON form of the response to an append: the offset and time of the record. */
  public byte[] encodeAppended(LogRecord appended) {
    return encode(new Appended(appended.offset(), appended.timeMillis()));
  }

  /**
   * Parses the response to an append.
   *
   * @param json the bytes of the response
   * @param payload the payload of the appended record
   * @throws IOException if the bytes do not have this form
   */
  public LogRecord decodeAppended(byte[] json, byte[] payload) throws IOException {
    Appended appended = mapper.readValue(json, Appended.class);
    if (appended.offset() < 1) {
      throw new IOException("The response to an append has no offset.");
    }
    return new LogRecord(appended.offset(), appended.timeMillis(), payload);
  }

  /** Returns the JSON form of the list of VMs. */
  public byte[] encodeVms(List<VmEntry> vms) {
    return encode(new Vms(vms.stream().map(Vm::of).toList()));
  }

  /**
   * Parses the list of VMs.
   *
   * @throws IOException if the bytes do not have this form
   */
  public List<VmEntry> decodeVms(byte[] json) throws IOException {
    try {
      return mapper.readValue(json, Vms.class).vms().stream().map(Vm::entry).toList();
    } catch (IllegalArgumentException | NullPointerException e) {
      throw new IOException("The list of VMs has an invalid entry.", e);
    }
  }

  /** Returns the JSON form of one VM. */
  public byte[] encodeVm(VmEntry vm) {
    return encode(Vm.of(vm));
  }

  /**
   * Parses one VM.
   *
   * @throws IOException if the bytes do not have this form
   */
  public VmEntry decodeVm(byte[] json) throws IOException {
    try {
      return mapper.readValue(json, Vm.class).entry();
    } catch (IllegalArgumentException | NullPointerException e) {
      throw new IOException("The VM has an invalid or missing field.", e);
    }
  }

  private byte[] encode(Object value) {
    try {
      return mapper.writeValueAsBytes(value);
    } catch (JsonProcessingException e) {
      throw new IllegalStateException("the message could not be serialized as JSON", e);
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
