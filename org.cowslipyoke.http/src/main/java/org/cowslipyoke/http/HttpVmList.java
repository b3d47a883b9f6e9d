package org.cowslipyoke.http;

import com.fasterxml.jackson.databind.JsonNode;
import io.vavr.control.Either;
import java.net.URI;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import org.cowslipyoke.errors.ErrorKind;
import org.cowslipyoke.errors.Failure;
import org.cowslipyoke.platform.VmList;
import org.cowslipyoke.util.Json;
import org.cowslipyoke.util.MalformedResponseException;

/** Client of the platform's list of VMs. */
public final class HttpVmList implements VmList {

  private final JsonCaller caller;

  /** Creates a client whose calls end after {@code timeoutMs}. */
  public HttpVmList(HttpConnector connector, URI base, long timeoutMs) {
    this.caller =
        new JsonCaller(
            connector, base, timeoutMs, ErrorKind.STORE_UNAVAILABLE, ErrorKind.STORE_UNAVAILABLE);
  }

  @Override
  public Either<Failure, Optional<Vm>> find(String vm) {
    return caller.get(
        "/v1/vm?" + JsonCaller.param("vm", vm),
        a -> {
          JsonNode v = Json.field(a, "vm");
          return v.isNull() ? Optional.empty() : Optional.of(vm(v));
        });
  }

  @Override
  public Either<Failure, List<Vm>> list() {
    return caller.get(
        "/v1/vms",
        a -> {
          List<Vm> vms = new ArrayList<>();
          for (JsonNode v : Json.array(a, "vms")) {
            vms.add(vm(v));
          }
          return List.copyOf(vms);
        });
  }

  private static Vm vm(JsonNode v) throws MalformedResponseException {
    return new Vm(
        Json.text(v, "vm"),
        Json.text(v, "host"),
        Json.nonNegativeInt(v, "port"),
        Role.valueOf(Json.text(v, "role").toUpperCase(Locale.ROOT)),
        Json.text(v, "failureDomain"),
        Json.text(v, "group"),
        State.valueOf(Json.text(v, "state").toUpperCase(Locale.ROOT)));
  }
}
