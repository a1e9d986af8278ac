package org.rhubarbrelay.config;

/** The HTTP methods that a route can name. */
public enum Method {
    GET,
    HEAD,
    POST,
    PUT,
    PATCH,
    DELETE,
    OPTIONS
}
