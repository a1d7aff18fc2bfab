// Package design describes the HTTP API of an entry VM. The code in package gen is generated from it.
package design

import (
	. "goa.design/goa/v3/dsl" //lint:ignore ST1001 the design language is meant to be dot-imported
)

var _ = API("mangopass", func() {
	Title("mangopass")
	Description("Serving of rarely used models: the callers' endpoints of an entry VM.")
})

var _ = Service("calls", func() {
	Description("The callers' endpoints. Bodies pass through unread except for the fields that routing needs, so that " +
		"fields unknown here reach the engine. Refusals use the OpenAI error envelope.")

	Method("chat", func() {
		Description("OpenAI-style chat completion. The body's model is ROUTE/MODEL or ROUTE/MODEL/ADAPTER. The answer is " +
			"what the engine sends; a stream of server-sent events is passed on event by event.")
		Payload(callPayload)
		Result(callResult)
		HTTP(func() {
			POST("/v1/chat/completions")
			callHeaders()
			SkipRequestBodyEncodeDecode()
			SkipResponseBodyEncodeDecode()
			Response(StatusOK, func() { Header("content_type:Content-Type") })
		})
	})

	Method("invoke", func() {
		Description("A call to a plain service. The route decides whether the call may be repeated.")
		Payload(func() {
			Extend(callPayload)
			Attribute("route", String, "Name of the route")
			Attribute("path", String, "Path at the plain service")
			Required("route", "path")
		})
		Result(callResult)
		HTTP(func() {
			POST("/v1/services/{route}/{*path}")
			GET("/v1/services/{route}/{*path}")
			callHeaders()
			SkipRequestBodyEncodeDecode()
			SkipResponseBodyEncodeDecode()
			Response(StatusOK, func() { Header("content_type:Content-Type") })
		})
	})

	Method("models", func() {
		Description("Lists the routes that the caller's organisation may use, as OpenAI model objects.")
		Result(modelList)
		HTTP(func() {
			GET("/v1/models")
			Response(StatusOK)
		})
	})
})

var callPayload = Type("CallPayload", func() {
	Attribute("deadline_ms", Int, "Shortens the route's deadline, in milliseconds", func() { Minimum(1) })
})

func callHeaders() {
	Header("deadline_ms:X-Mangopass-Deadline-Ms")
}

var callResult = Type("CallResult", func() {
	Attribute("content_type", String, "Content type of the answer")
	Required("content_type")
})

var modelList = Type("ModelList", func() {
	Attribute("object", String, "Always list")
	Attribute("data", ArrayOf(modelObject), "The routes")
	Required("object", "data")
})

var modelObject = Type("ModelObject", func() {
	Attribute("id", String, "Name of the route")
	Attribute("object", String, "Always model")
	Attribute("owned_by", String, "Always mangopass")
	Required("id", "object", "owned_by")
})
